// Stories of durable jobs: the program is killed between one step and the next, and what was acknowledged is
// there again, run as its class allows and no more.
#include <ctime>
#include <filesystem>

#include "story.h"

namespace {
using namespace story;

const std::string kFaktory = "{\"enabled\":true,\"listen\":\"127.0.0.1:0\",\"password\":\"\"}";

// A folder for the stores, gone at the end.
struct Folder {
  Folder() {
    char name[] = "/tmp/heronway-durable-XXXXXX";
    assert(mkdtemp(name) != nullptr);
    path = name;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string Options(const std::string& more = "") const {
    return "{\"durable\":{\"enabled\":true,\"folder\":\"" + path + "\"" + more + "}}";
  }
  std::string path;
};

Conn Hello(Program& p, const std::string& wid = "") {
  Conn c = Conn::To(p.faktory_at);
  c.Line();
  assert(c.Say("HELLO {\"v\":2" + (wid.empty() ? "" : ",\"wid\":\"" + wid + "\"") + "}") == "+OK\r\n");
  return c;
}
std::string Push(const std::string& jid, const std::string& type = "preview", const std::string& more = "") {
  return "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"" + type + "\",\"args\":[1]" + more + "}";
}
std::string Job(Conn& worker) {
  const std::string size = worker.Line();
  return size == "$-1\r\n" ? "" : worker.Line();
}
std::string Fetch(Conn& worker) {
  worker.Send("FETCH default\r\n");
  return Job(worker);
}
std::string Ack(Conn& worker, const std::string& jid) { return worker.Say("ACK {\"jid\":\"" + jid + "\"}"); }
std::string Info(Conn& c) {
  c.Send("INFO\r\n");
  return Job(c);
}

// The whole path, with a crash after every step: each job runs once.
void Crashes() {
  Folder folder;
  Program p(Site().Json(), kFaktory, folder.Options());
  {
    Conn client = Hello(p);
    assert(client.Say(Push("job-0001", "once")) == "+OK\r\n" && "it is stored, though nobody runs it yet");
    assert(Has(Info(client), "\"default\":1"));
  }
  p.Kill();
  p.Start();
  {
    Conn client = Hello(p), worker = Hello(p, "w0");
    assert(client.Say(Push("job-0001", "once")) == "+OK\r\n" && "it is known, and not taken twice");
    assert(Has(Fetch(worker), "job-0001"));
  }
  p.Kill();  // leased: the worker has it
  p.Start();
  {
    Conn other = Hello(p, "w1");
    other.Send("FETCH default\r\n");
    Conn worker = Hello(p, "w0");
    assert(Ack(worker, "job-0001") == "+OK\r\n" && "whoever held it before the crash may still end it");
    assert(Has(Info(worker), "\"total_processed\":1"));
    assert(Job(other).empty() && "an unsafe job that may be running goes to nobody");
  }
  p.Kill();
  p.Start();
  {
    Conn client = Hello(p), worker = Hello(p, "w1");
    assert(client.Say(Push("job-0001", "once")) == "+OK\r\n");
    assert(Fetch(worker).empty() && "it is done, and stays so");
  }
  p.Signal(SIGTERM);
  assert(p.Wait() == 0);
}

}  // namespace

int main(int argc, char** argv) { return story::Run(argc, argv, {{"crashes", Crashes}}); }
