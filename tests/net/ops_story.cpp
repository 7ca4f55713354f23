// Stories of the operators' days: a second process beside the first, the console, settings that change.
#include "story.h"

namespace {
using namespace story;

std::string Job(const std::string& id, const std::string& path = "/preview/p", int deadline_ms = 3000) {
  return "POST " + path + " HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
         "\r\nReq-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: 2\r\n\r\nin";
}
const std::string kTaken = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

std::string News(const std::string& at, const std::string& id, const std::string& from,
                 const std::string& rest) {
  const std::string body = "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":" + rest + "}";
  return Conn::To(at).Ask("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
}

// Serves one job through whichever process the kernel gives the connection to. Egress connections are kept,
// and each process may send on one that it has, or on a new one.
void ServeOne(const std::string& at, Peer& worker, std::vector<Conn>& hops, const std::string& id) {
  Conn client = Conn::To(at);
  client.Send(Job(id));
  Conn* hop = nullptr;
  for (const double until = Now() + 5; hop == nullptr; assert(Now() < until && "no hop came")) {
    for (Conn& kept : hops) {
      if (!kept.Quiet(0.005) && !kept.Ended(0)) hop = &kept;
    }
    if (hop == nullptr && worker.Called(0.005)) hop = &hops.emplace_back(worker.Accept());
  }
  assert(Has(hop->Http(), "Req-Id: " + id));
  hop->Send(kTaken);
  assert(Has(News(at, id, "w0", "\"done\",\"result\":\"" + id + "\""), " 200 "));
  assert(Has(client.Http(), " 200 "));
}

// A second process on the same address starts while the first serves; the first ends by SIGTERM with 0 and
// what it held answered, and the second serves from then on.
void Upgrade() {
  Peer worker;
  Site site;
  site.targets = Target("w0", worker.at);
  Program first(site.Json());
  Conn held = Conn::To(first.at);  // before the second is there: the first has it
  site.listen = first.at;
  Program second(site.Json());
  assert(second.at == first.at);
  held.Send(Job("aa01"));
  std::vector<Conn> hops;
  hops.push_back(worker.Accept());
  hops.back().Http();
  hops.back().Send(kTaken);
  first.Signal(SIGTERM);
  // The call-back may reach either process; the one that holds the job answers it.
  for (int i = 0; i < 30; ++i) News(first.at, "aa01", "w0", "\"done\",\"result\":\"one\"");
  assert(Has(held.Http(), "one"));
  assert(first.Wait() == 0);
  for (const std::string id : {"bb01", "bb02", "bb03"}) ServeOne(first.at, worker, hops, id);
}

}  // namespace

int main(int argc, char** argv) { return story::Run(argc, argv, {{"upgrade", Upgrade}}); }
