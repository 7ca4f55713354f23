// End-to-end tests of the Faktory front with scripted clients and workers.
#include <openssl/sha.h>

#include <algorithm>
#include <cmath>
#include <fstream>

#include "e2e_harness.h"

namespace {
using namespace e2e;

const std::string kFaktory = "{\"enabled\":true,\"listen\":\"127.0.0.1:0\",\"password\":\"\"}";

// Connects and sends HELLO. With a wid, the connection is a worker's.
Conn Hello(Program& p, const std::string& wid = "", const std::string& more = "") {
  Conn c = Conn::To(p.faktory_at);
  assert(Has(c.Line(), "+HI {\"v\":2}"));
  assert(c.Say("HELLO {\"v\":2" + (wid.empty() ? "" : ",\"wid\":\"" + wid + "\"") + more + "}") == "+OK\r\n");
  return c;
}
std::string Push(const std::string& jid, const std::string& type = "preview", const std::string& more = "") {
  return "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"" + type + "\",\"args\":[1]" + more + "}\r\n";
}
// Reads the reply to a FETCH that was already sent; empty if it carries no job.
std::string Job(Conn& worker) {
  const std::string size = worker.Line();
  return size == "$-1\r\n" ? "" : worker.Line();
}
// Makes sure that the program reads everything sent so far on any connection before anything that the test
// sends afterwards.
void ReadSoFar(Conn& c) {
  c.Send("INFO\r\n");
  assert(Has(c.Line(), "$"));
  c.Line();
}
std::string Ack(Conn& worker, const std::string& jid) { return worker.Say("ACK {\"jid\":\"" + jid + "\"}"); }
std::string Fail(Conn& worker, const std::string& jid) {
  return worker.Say("FAIL {\"jid\":\"" + jid + "\",\"errtype\":\"E\",\"message\":\"m\"}");
}

// PUSH, FETCH and ACK: the job reaches the worker as it was pushed. A worker that disconnects after its ACK
// does not change the outcome.
void Served() {
  Program p(Site().Json(), kFaktory);
  Audit audit;
  Conn worker = Hello(p, "w0"), client = Hello(p);
  worker.Send("FETCH default\r\n");
  client.Send(Push("job-0001", "once", ",\"custom\":{\"deadline_ms\":3000,\"key\":\"7f\",\"mine\":true}"));
  assert(Has(Job(worker), "\"custom\":{\"deadline_ms\":3000,\"key\":\"7f\",\"mine\":true}"));
  audit.Sent("job-0001", "w0", Audit::Repeat::kNever);
  assert(client.Quiet(0.1) && "PUSH is answered only when the outcome is known");
  worker.Send("ACK {\"jid\":\"job-0001\"}\r\n");
  worker.Close();
  assert(client.Line() == "+OK\r\n");
  audit.Answered("job-0001");
  assert(client.Quiet(0.2));
  client.Send("INFO\r\n");
  client.Line();
  assert(Has(client.Line(), "\"total_processed\":1"));
  client.Send("END\r\n");
  assert(client.Ended());
}

// A worker that dies before its ACK may have run the job, so the job's class decides whether it is retried.
void WorkerDies() {
  struct Case {
    const char *type, *second_zone;
    bool repeated;
    Audit::Repeat rule;
  };
  for (const Case& c :
       {Case{"preview", "b", true, Audit::Repeat::kFree}, Case{"save", "a", true, Audit::Repeat::kSameZone},
        Case{"save", "b", false, Audit::Repeat::kSameZone},
        Case{"once", "a", false, Audit::Repeat::kNever}}) {
    Program p(Site().Json(), kFaktory);
    Audit audit;
    Conn first = Hello(p, "w0", ",\"labels\":[\"a\"]"), client = Hello(p);
    first.Send("FETCH default\r\n");
    client.Send(Push("job-0001", c.type));
    Job(first);
    audit.Sent("job-0001", "w0", c.rule, 0);
    Conn second = Hello(p, "w1", std::string(",\"labels\":[\"") + c.second_zone + "\"]");
    second.Send("FETCH default\r\n");
    Pause(0.05);
    first.Close();
    audit.Over("job-0001", true);
    if (c.repeated) {
      assert(!Job(second).empty());
      audit.Sent("job-0001", "w1", c.rule, c.second_zone[0] - 'a');
      assert(Ack(second, "job-0001") == "+OK\r\n" && client.Line() == "+OK\r\n");
      audit.Answered("job-0001");
    } else {
      assert(Has(client.Line(), "-ERR FAILED"));
      audit.Answered("job-0001");
      assert(Job(second).empty());
    }
  }
}

// A job that got FAIL may have run: it is retried at another worker if its class is idempotent, and not if it
// is at most once. `retry` 0 forbids a retry for every class.
void Fails() {
  Program p(Site().Json(), kFaktory);
  Conn a = Hello(p, "w0"), b = Hello(p, "w1"), client = Hello(p);
  a.Send("FETCH default\r\n");
  // Without this the job may be assigned to w1, which has not sent FETCH, and reach w0 with no other worker
  // left.
  ReadSoFar(client);
  client.Send(Push("job-0001"));
  Job(a);
  b.Send("FETCH default\r\n");
  ReadSoFar(a);
  assert(Fail(a, "job-0001") == "+OK\r\n");
  assert(!Job(b).empty() && Ack(a, "job-0001") == "+OK\r\n" && client.Quiet(0.1) &&
         "a late ACK from the failed hop is ignored");
  assert(Ack(b, "job-0001") == "+OK\r\n" && client.Line() == "+OK\r\n");
  b.Send("FETCH default\r\n");
  ReadSoFar(client);
  client.Send(Push("job-0002", "once"));
  Job(b);
  Fail(b, "job-0002");
  assert(Has(client.Line(), "-ERR FAILED"));
  a.Send("FETCH default\r\n");
  b.Send("FETCH default\r\n");
  Pause(3.1);  // both workers are excluded for a while after a FAIL
  assert(Job(a).empty() && Job(b).empty());
  a.Send("FETCH default\r\n");
  ReadSoFar(client);
  client.Send(Push("job-0003", "preview", ",\"retry\":0"));
  Job(a);
  Fail(a, "job-0003");
  assert(Has(client.Line(), "-ERR"));
}

// A client that reconnects and pushes the same jid again joins the running job: it runs once and is answered
// once. The same holds if the job has completed meanwhile or if the old connection is still open.
void Rejoin() {
  Program p(Site().Json(), kFaktory);
  Audit audit;
  Conn worker = Hello(p, "w0"), client = Hello(p);
  worker.Send("FETCH default\r\n");
  client.Send(Push("job-0001", "once"));
  Job(worker);
  audit.Sent("job-0001", "w0", Audit::Repeat::kNever);
  client.Close();
  Conn again = Hello(p);
  again.Send(Push("job-0001", "once"));
  Conn third = Hello(p);
  third.Send(Push("job-0001", "once"));
  assert(again.Ended());
  worker.Send("FETCH default\r\n");
  assert(Job(worker).empty());
  third.Close();
  Pause(0.1);
  assert(Ack(worker, "job-0001") == "+OK\r\n");
  Conn last = Hello(p);
  worker.Send("FETCH default\r\n");
  last.Send(Push("job-0001", "once"));
  assert(last.Line() == "+OK\r\n");
  audit.Answered("job-0001");
  assert(Job(worker).empty() && audit.Hops("job-0001") == 1);
}

// A job whose client disconnects before any worker has it is not given to a FETCH until the client
// reconnects.
void Away() {
  Program p(Site().Json(), kFaktory);
  Conn worker = Hello(p, "w0"), client = Hello(p), other = Hello(p);
  client.Send(Push("job-0001", "once"));
  client.Close();
  other.Send(
      "INFO\r\n");  // sent after the close, so the program sees the close before it reads anything later
  assert(Has(other.Line(), "$"));
  worker.Send("FETCH default\r\n");
  assert(worker.Quiet(0.2) && "a job of a disconnected client was given to a worker");
  Conn again = Hello(p);
  again.Send(Push("job-0001", "once"));
  assert(Has(Job(worker), "job-0001"));
  assert(Ack(worker, "job-0001") == "+OK\r\n" && again.Line() == "+OK\r\n");
}

// A worker disconnects while its FETCH is pending, and a PUSH arrives before the program reads either: the
// job must not be assigned to the closed connection, and another worker gets it.
void TakerGone() {
  Program p(Site().Json(), kFaktory);
  Conn worker = Hello(p, "w0"), client = Hello(p), other = Hello(p);
  worker.Send("FETCH default\r\n");
  ReadSoFar(other);
  p.Freeze();
  worker.Close();
  client.Send(Push("job-0001", "once"));  // the newer connection is read first
  p.Thaw();
  Conn fresh = Hello(p, "w1");
  fresh.Send("FETCH default\r\n");
  assert(Has(Job(fresh), "job-0001") && "the job was assigned to a closed connection");
  assert(Ack(fresh, "job-0001") == "+OK\r\n" && client.Line() == "+OK\r\n");
}

// A worker that reports `quiet` in BEAT gets no new jobs, jobs waiting for it go to another worker, and it
// may finish the jobs it has.
void Quiet() {
  Program p(Site().Json(), kFaktory);
  Audit audit;
  Conn old = Hello(p, "w0"), client = Hello(p), other = Hello(p);
  old.Send("FETCH default\r\n");
  client.Send(Push("job-0001", "once"));
  Job(old);
  audit.Sent("job-0001", "w0");
  other.Send(Push("job-0002", "once"));  // pending at the only worker
  assert(old.Say("BEAT {\"wid\":\"w0\",\"current_state\":\"quiet\"}") == "+OK\r\n");
  audit.Drains("w0");
  Conn fresh = Hello(p, "w1");
  fresh.Send("FETCH default\r\n");
  old.Send("FETCH default\r\n");
  assert(Has(Job(fresh), "job-0002"));
  audit.Sent("job-0002", "w1", Audit::Repeat::kNever);
  assert(Ack(fresh, "job-0002") == "+OK\r\n" && other.Line() == "+OK\r\n");
  audit.Answered("job-0002");
  assert(Job(old).empty() && "a quiet worker gets no new job, even after 2 s");
  assert(Ack(old, "job-0001") == "+OK\r\n" && client.Line() == "+OK\r\n");
}

// A job that no worker fetches never ran: it is shed within its deadline with a time to retry. One that was
// delivered and times out may have run and fails. An idempotent job whose `reserve_for` expires is retried.
void Deadline() {
  Program p(Site().Json(), kFaktory);
  Conn worker = Hello(p, "w0"), client = Hello(p);
  double sent = Now();
  client.Send(Push("job-0001", "once", ",\"custom\":{\"deadline_ms\":700}"));
  const std::string shed = client.Line();
  assert(Has(shed, "-ERR SHED") && Has(shed, "come back in ") && Now() - sent < 0.7);
  worker.Send("FETCH default\r\n");
  sent = Now();
  client.Send(Push("job-0002", "once", ",\"custom\":{\"deadline_ms\":700}"));
  assert(!Job(worker).empty());
  assert(Has(client.Line(), "-ERR FAILED") && Now() - sent < 0.7);
  assert(Ack(worker, "job-0002") == "+OK\r\n" && client.Quiet(0.1));
  Conn second = Hello(p, "w1");
  second.Send("FETCH default\r\n");
  client.Send(Push("job-0003", "preview", ",\"reserve_for\":1"));
  assert(Has(Job(second), "job-0003"));
  worker.Send("FETCH default\r\n");
  const std::string repeat = Job(worker);
  Ack(second, "job-0003");
  if (!repeat.empty()) Ack(worker, "job-0003");
  assert(!repeat.empty() && client.Line() == "+OK\r\n");
}

// A FETCH for other queues is not a free slot for a job, so the job is shed.
void Queues() {
  Program p(Site().Json(), kFaktory);
  Conn worker = Hello(p, "w0"), client = Hello(p);
  worker.Send("FETCH other\r\n");
  client.Send(Push("job-0001", "once", ",\"queue\":\"mine\""));
  assert(Job(worker).empty());
  assert(Has(client.Line(), "-ERR SHED"));
}

// Invalid or unsupported input gets an error that names the field, and the program keeps serving.
void BadInput() {
  Program p(Site().Json(), "{\"enabled\":true,\"listen\":\"127.0.0.1:0\",\"password\":\"secret\"}");
  const auto hello = [&p](const std::string& password) {
    Conn c = Conn::To(p.faktory_at);
    const std::string hi = c.Line();
    const auto salt = hi.find("\"s\":\"") + 5;
    std::string hash = password + hi.substr(salt, hi.find('"', salt) - salt);
    for (int n = std::stoi(hi.substr(hi.find("\"i\":") + 4)); n > 0; --n) {
      unsigned char digest[32];
      SHA256(reinterpret_cast<const unsigned char*>(hash.data()), hash.size(), digest);
      hash.assign(reinterpret_cast<char*>(digest), 32);
    }
    std::string hex;
    char two[3];
    for (const unsigned char b : hash)
      hex.append(two, static_cast<std::size_t>(std::snprintf(two, 3, "%02x", b)));
    const std::string answer = c.Say("HELLO {\"v\":2,\"pwdhash\":\"" + hex + "\"}");
    return std::pair(std::move(c), answer);
  };
  auto [stranger, no] = hello("guess");
  assert(no == "-ERR Invalid password\r\n" && stranger.Ended());
  auto [client, yes] = hello("secret");
  assert(yes == "+OK\r\n");
  const std::vector<std::pair<std::string, const char*>> bad = {
      {"{\"jobtype\":\"once\",\"args\":[]}", "jid"},
      {"{\"jid\":\"job-0001\",\"jobtype\":\"x\",\"args\":[]}", "jobtype"},
      {"{\"jid\":\"job-0001\",\"jobtype\":\"once\"}", "args"},
      {"{\"jid\":\"job-0001\",\"jobtype\":\"once\",\"args\":[],\"at\":\"2030-01-01T00:00:00Z\"}",
       "at is not supported"},
      {"{\"jid\":\"job-0001\",\"jobtype\":\"once\",\"args\":[],\"custom\":{\"deadline_ms\":\"x\"}}",
       "custom.deadline_ms"},
      {"{\"jid\":\"job-0001\",\"jobtype\":\"once\",\"args\":[],\"reserve_for\":-1}", "reserve_for"},
      {"[", "JSON"}};
  for (const auto& [job, named] : bad) {
    const std::string answer = client.Say("PUSH " + job);
    assert(answer.rfind("-ERR ", 0) == 0 && Has(answer, named));
  }
  assert(Has(client.Say("PUSHB []"), "-ERR command PUSHB is not supported"));
  assert(Has(client.Say("FETCH default"), "-ERR FETCH needs a HELLO with a wid"));
  client.Send("PUSH " + std::string(70'000, 'x') + "\r\n");
  assert(Has(client.Line(), "longer than 64 KiB"));
  assert(hello("secret").second == "+OK\r\n");
}

// A worker in slow start with many free slots is not overloaded: the jobs it gets in its first second stay
// under the overload factor times the rate of a cold worker with two cores and jobs of 100 ms.
void Cold() {
  Site site;
  site.warm_up = 8'000'000;
  site.sockets = 1024;
  Program p(site.Json(), kFaktory);
  std::vector<Conn> slots, clients;
  for (int i = 0; i < 30; ++i) slots.push_back(Hello(p, "w0"));
  for (Conn& c : slots) c.Send("FETCH default\r\n");
  for (int i = 0; i < 30; ++i) {
    clients.push_back(Hello(p));
    clients.back().Send(Push("job-00" + std::to_string(10 + i)));
  }
  Pause(1);
  const auto given = std::count_if(slots.begin(), slots.end(), [](Conn& c) { return !c.Quiet(0); });
  assert(given <= 3 * 0.3 * 20 &&
         "at most 3 (overload factor) times 0.3 (cold start share) of 20 jobs per second");
}

// With the limits enabled: a job that cannot be held is shed with a time to retry. A retry before that time
// gets the remaining time, and one at that time is served.
void Storm() {
  Site site;
  site.extra_limits = ",\"mostHeld\":1";
  Program p(site.Json(), kFaktory,
            "{\"limits\":{\"enabled\":true,\"watch\":{\"least_arrivals\":1,\"confirm_ms\":0},\"returns\":{"
            "\"longest_ms\":3000}}}");
  Conn worker = Hello(p, "w0"), client = Hello(p), crowd = Hello(p);
  const auto wait = [&crowd](const std::string& jid) {
    const std::string line = crowd.Say(Push(jid).substr(0, Push(jid).size() - 2));
    const auto at = line.find("come back in ");
    assert(line.rfind("-ERR SHED", 0) == 0 && at != line.npos);
    return std::stod(line.substr(at + 13));
  };
  const auto begin = [&](const std::string& jid) {
    worker.Send("FETCH default\r\n");
    client.Send(Push(jid));
    assert(Has(Job(worker), jid));
  };
  for (int i = 10; i < 30; ++i) {  // the worker's capacity is measured while the load exceeds it
    begin("first-" + std::to_string(i));
    wait("other-" + std::to_string(i));
    assert(Ack(worker, "first-" + std::to_string(i)) == "+OK\r\n" && client.Line() == "+OK\r\n");
  }
  begin("first-99");
  for (int i = 10; i < 20; ++i) {
    Pause(0.01);
    wait("crowd-" + std::to_string(i));
  }
  const double told = wait("late-0001"), began = Now();
  assert(told > 0.9);
  Pause(0.2);
  const double left = wait("late-0001");
  assert(left < told && std::abs(left - (told - (Now() - began))) < 0.05 &&
         "an early retry gets the same retry time");
  assert(Ack(worker, "first-99") == "+OK\r\n" && client.Line() == "+OK\r\n");
  Pause(left);
  worker.Send("FETCH default\r\n");
  crowd.Send(Push("late-0001"));
  assert(Has(Job(worker), "late-0001"));
  assert(Ack(worker, "late-0001") == "+OK\r\n" && crowd.Line() == "+OK\r\n");
  p.Signal(SIGTERM);
  assert(p.Wait() == 0 && Has(p.log, "warning storm faktory scope=all from=calm to=rising") &&
         Has(p.log, "early=1"));
}

// SIGTERM: a job in flight is still answered, and then the program exits with 0.
void Term() {
  Program p(Site().Json(), kFaktory);
  Conn worker = Hello(p, "w0"), client = Hello(p);
  worker.Send("FETCH default\r\n");
  client.Send(Push("job-0001"));
  Job(worker);
  p.Signal(SIGTERM);
  Pause(0.9);
  assert(Ack(worker, "job-0001") == "+OK\r\n" && client.Line() == "+OK\r\n");
  assert(p.Wait() == 0 && Has(p.log, "counters faktory taken=1 served=1"));
}

// Rules on this front: class from a map, key and tenant from custom fields, targets by label, a rate limit
// and a rejection.
void Rules() {
  const std::string file = "/tmp/heronway-e2e-faktory-rules-" + std::to_string(getpid());
  std::ofstream(file) << "map classes = { \"Thumbnail\": \"preview\", \"Upload\": \"save\" }\n"
                         "rate member: 1 per 10s\n"
                         "rule bad { when jobtype == \"Bad\" refuse \"not served\" }\n"
                         "rule all { class lookup(classes, jobtype) key hash(custom(\"album\")) "
                         "tenant custom(\"who\") targets label \"quick\" continue }\n"
                         "rule one { when queue == \"slow\" rate member by custom(\"who\") }\n";
  Program p(Site().Json(), kFaktory, "{\"match\":{\"rules\":\"" + file + "\"}}");
  Conn plain = Hello(p, "w0", ",\"labels\":[\"a\"]"), quick = Hello(p, "w1", ",\"labels\":[\"a\",\"quick\"]");
  plain.Send("FETCH default slow\r\n");
  quick.Send("FETCH default slow\r\n");
  Conn client = Hello(p);
  client.Send(Push("job-0000", "Bad"));
  assert(Has(client.Line(), "-ERR REFUSED not served"));
  client.Send(Push("job-0001", "Nothing"));
  assert(Has(client.Line(), "-ERR jobtype is none"));
  client.Send(
      Push("job-0002", "Thumbnail", ",\"queue\":\"slow\",\"custom\":{\"album\":\"x\",\"who\":\"us\"}"));
  assert(Has(Job(quick), "job-0002"));
  assert(Ack(quick, "job-0002") == "+OK\r\n" && client.Line() == "+OK\r\n");
  client.Send(Push("job-0003", "Upload", ",\"queue\":\"slow\",\"custom\":{\"who\":\"us\"}"));
  assert(Has(client.Line(), "-ERR SHED over the rate member; come back in "));
  quick.Send("FETCH default slow\r\n");
  client.Send(Push("job-0004", "Upload", ",\"custom\":{\"who\":\"us\"}"));
  assert(Has(Job(quick), "job-0004"));
  assert(Ack(quick, "job-0004") == "+OK\r\n" && client.Line() == "+OK\r\n");
  std::remove(file.c_str());
  p.Signal(SIGTERM);
  assert(p.Wait() == 0 && Has(p.log, "tenant faktory tenant=us taken=2 served=2"));
}

}  // namespace

int main(int argc, char** argv) {
  return e2e::Run(argc, argv,
                  {{"served", Served},
                   {"worker_dies", WorkerDies},
                   {"fails", Fails},
                   {"rejoin", Rejoin},
                   {"away", Away},
                   {"taker_gone", TakerGone},
                   {"quiet", Quiet},
                   {"deadline", Deadline},
                   {"queues", Queues},
                   {"bad_input", BadInput},
                   {"cold", Cold},
                   {"storm", Storm},
                   {"term", Term},
                   {"rules", Rules}});
}
