#include "tests/faults/fleet.h"

#include <fcntl.h>
#include <json/reader.h>
#include <json/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <set>
#include <stdexcept>

#include "tests/net/e2e_harness.h"

namespace heronway::faults {
namespace {

constexpr int kWorkers = 2;
constexpr double kStartWithin = 20, kEndWithin = 10;

std::string ListenAt(int member) { return rig::OwnHost(1 + member) + ":7946"; }
std::string WayAt(int from, int to) { return rig::OwnHost(101 + from) + ":" + std::to_string(8000 + to); }
std::string FaktoryAt(int member) { return rig::OwnHost(1 + member) + ":7419"; }
std::string CopiesAt(int member) { return rig::OwnHost(1 + member) + ":7947"; }
std::string CopyWayAt(int from, int to) { return rig::OwnHost(101 + from) + ":" + std::to_string(8100 + to); }
net::Address At(const std::string& text) { return *net::ParseAddress(text); }

Json::Value Read(const std::string& text) {
  Json::Value out;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(text.data(), text.data() + text.size(), &out, nullptr)) return {};
  return out;
}
std::string Line(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

// One call of a console, in at most 2 s; empty: no answer.
std::string Ask(const std::string& at, const std::string& path) {
  const net::Address to = At(at);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{2, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  std::string all;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
    const std::string call = "GET " + path + " HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";
    send(fd, call.data(), call.size(), MSG_NOSIGNAL);
    char bytes[65536];
    for (ssize_t n; (n = recv(fd, bytes, sizeof bytes, 0)) > 0;)
      all.append(bytes, static_cast<std::size_t>(n));
  }
  close(fd);
  const auto body = all.find("\r\n\r\n");
  return all.find(" 200 ") == all.npos || body == all.npos ? "" : all.substr(body + 4);
}

}  // namespace

struct Fleet::Member {
  int index = 0;
  std::string folder, at, console;
  pid_t pid = -1;
  int log = -1;
  ev_io io;
  std::string line;
  bool stopped = false, disturbed = false, up = false;
  int starts = 0;
  std::shared_ptr<rig::Auditor> audit;  // one for all where jobs move between members
  std::unique_ptr<rig::Discovery> discovery;
  std::vector<std::unique_ptr<rig::Worker>> workers;
  std::unique_ptr<rig::Crowd> crowd;
  int first = 0, tries = 0, served = 0, refused = 0, failed = 0;
  Fleet* fleet = nullptr;
  void TakeCrowd() {
    if (crowd == nullptr) return;
    for (const rig::Second& s : crowd->seconds) {
      first += s.first;
      tries += s.tries;
      served += s.served;
      refused += s.refused;
      failed += s.failed;
    }
    crowd.reset();
  }
};

std::string Fleet::NameOf(int member) const {
  const auto it = plan_.named.find(member);
  return "s" + std::to_string(it == plan_.named.end() ? member : it->second);
}

Fleet::Fleet(const Plan& plan, std::uint64_t seed, const std::string& program, const std::string& history)
    : plan_(plan), seed_(seed), program_(program), history_(history), began_(loop_.Now()) {
  if (!history_) throw std::runtime_error("cannot write " + history);
  char folder[] = "/tmp/heronway-faults-XXXXXX";
  if (mkdtemp(folder) == nullptr) throw std::runtime_error("no folder can be made");
  folder_ = folder;
  const int n = plan_.members;
  std::stable_sort(plan_.steps.begin(), plan_.steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  for (int i = 0; i < n * n; ++i) ways_.emplace_back();
  weather_.resize(ways_.size());
  for (int a = 0; a < n; ++a) {
    for (int b = 0; b < n; ++b) {
      if (a == b) continue;
      const auto i = static_cast<std::size_t>(a * n + b), back = static_cast<std::size_t>(b * n + a);
      ways_[i] = std::make_unique<Way>(shared_, later_, At(WayAt(a, b)), At(ListenAt(b)), weather_[i],
                                       weather_[back], seed * 7919 + i);
      if (plan_.copies > 1)
        copy_ways_.push_back(std::make_unique<Way>(shared_, later_, At(CopyWayAt(a, b)), At(CopiesAt(b)),
                                                   weather_[i], weather_[back], seed * 7907 + i));
    }
  }
  for (int i = 0; i < n; ++i) {
    auto m = std::make_unique<Member>();
    m->index = i;
    m->fleet = this;
    m->audit = plan_.takeover_ms > 0 && i > 0 ? members_[0]->audit : std::make_shared<rig::Auditor>();
    m->folder = folder_ + "/" + std::to_string(i);
    std::filesystem::create_directories(m->folder + "/disk");
    m->discovery = std::make_unique<rig::Discovery>(shared_);
    rig::WorkerPlan work;
    work.run = 50'000;
    std::string targets;
    for (int w = 0; w < kWorkers; ++w) {
      m->workers.push_back(
          std::make_unique<rig::Worker>(shared_, *m->audit, "w" + std::to_string(i * kWorkers + w), work,
                                        seed * 100 + static_cast<std::uint64_t>(i * kWorkers + w)));
      const rig::Entry entry = m->workers.back()->entry();
      m->discovery->Tell(entry);
      targets += (targets.empty() ? "" : ",") + e2e::Target(entry.name, entry.at);
    }
    m->at = rig::OwnHost(1 + i) + ":8080";
    m->console = rig::OwnHost(1 + i) + ":15000";
    for (const auto& w : m->workers) w->CallBackTo(m->at);
    e2e::Config site;
    site.discovery = m->discovery->address();
    site.targets = targets;
    site.listen = m->at;
    site.console = m->console;
    site.sockets = 256;
    site.memory_mb = 64;
    std::ofstream(m->folder + "/config.json") << site.Json();
    Json::Value options;
    options["log"]["form"] = "json";
    options["log"]["connections"] = true;
    Json::Value& cluster = options["cluster"];
    cluster["enabled"] = true;
    cluster["fleet"] = "faults";
    cluster["name"] = NameOf(i);
    cluster["listen"] = ListenAt(i);
    cluster["period_ms"] = plan_.period_ms;
    for (int j = 0; j < n; ++j) {
      if (j == i) continue;
      cluster["reach"][NameOf(j)] = WayAt(i, j);
      if (j < 2 || (i < 2 && plan_.late.empty())) cluster["join"].append(WayAt(i, j));
    }
    cluster["join"].append(ListenAt(i));  // one's own does no harm
    // Two under one name: a way by name would lead to one of them alone.
    for (const auto& [one, other] : plan_.named) cluster["reach"].removeMember(NameOf(other));
    if (plan_.copies > 1) {
      options["durable"]["enabled"] = true;
      options["durable"]["folder"] = m->folder + "/disk";
      cluster["copies"] = plan_.copies;
      cluster["takeover_ms"] = plan_.takeover_ms;
      cluster["copies_listen"] = CopiesAt(i);
      for (int j = 0; j < n; ++j) {
        if (j != i) cluster["copies_reach"][NameOf(j)] = CopyWayAt(i, j);
      }
    }
    if (plan_.takeover_ms > 0) {
      // Times that a run can wait for.
      options["durable"]["lease_ms"] = 2'000;
      options["durable"]["grace_ms"] = 1'000;
    }
    std::ofstream(m->folder + "/options.json") << Line(options);
    std::ofstream(m->folder + "/faktory.json")
        << (plan_.takeover_ms > 0 ? "{\"enabled\":true,\"password\":\"\",\"listen\":\"" + FaktoryAt(i) + "\"}"
                                  : "{\"enabled\":false}");
    members_.push_back(std::move(m));
  }
}

Fleet::~Fleet() {
  jobs_.reset();
  for (auto& m : members_) {
    m->crowd.reset();
    if (m->pid <= 0) continue;
    kill(m->pid, SIGKILL);
    waitpid(m->pid, nullptr, 0);
    ev_io_stop(loop_.raw(), &m->io);
    close(m->log);
  }
  std::error_code none;
  std::filesystem::remove_all(folder_, none);
}

void Fleet::Note(Json::Value event) {
  event["t"] = static_cast<double>(loop_.Now() - began_) / 1e6;
  history_ << Line(event) << "\n" << std::flush;
}

void Fleet::Note(const char* event, int member) {
  Json::Value v;
  v["event"] = event;
  v["member"] = member;
  Note(v);
}

void Fleet::Start(Member& m) {
  if (m.pid > 0) return;
  int log[2];
  if (pipe2(log, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  m.pid = fork();
  if (m.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // a run that fails leaves nothing behind
    if (const auto off = plan_.clock_off.find(m.index); off != plan_.clock_off.end()) {
      setenv("LD_PRELOAD", HERONWAY_CLOCK_OFF, 1);
      setenv("CLOCK_OFF_S", std::to_string(off->second).c_str(), 1);
      setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
    if (plan_.watch_faults_per_mille > 0) {
      setenv("LD_PRELOAD", HERONWAY_CALL_FAULTS, 1);
      setenv("CALL_FAULTS",
             (std::to_string(seed_ * 100 + static_cast<std::uint64_t>(m.index)) + " " +
              std::to_string(plan_.watch_faults_per_mille) + " 0 3600000")
                 .c_str(),
             1);
      setenv("CALL_FAULTS_EPOLL", "only", 1);
      setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
    dup2(log[1], 2);
    const std::string c = m.folder + "/config.json", o = m.folder + "/options.json",
                      f = m.folder + "/faktory.json";
    execl(program_.c_str(), "heronway", "serve", "--config", c.c_str(), "--faktory", f.c_str(), "--options",
          o.c_str(), nullptr);
    _exit(127);
  }
  close(log[1]);
  m.log = log[0];
  m.stopped = m.up = false;
  fcntl(m.log, F_SETFL, O_NONBLOCK);
  ev_io_init(
      &m.io,
      [](struct ev_loop*, ev_io* w, int) {
        auto& member = *static_cast<Member*>(w->data);
        member.fleet->ReadLog(member);
      },
      m.log, EV_READ);
  m.io.data = &m;
  ev_io_start(loop_.raw(), &m.io);
  Json::Value v;
  v["event"] = "start";
  v["member"] = m.index;
  v["name"] = NameOf(m.index);
  Note(v);
}

// What the program says of members and itself goes into the history as it is.
void Fleet::ReadLog(Member& m) {
  char bytes[16384];
  const ssize_t n = read(m.log, bytes, sizeof bytes);
  if (n <= 0) {
    if (n == 0) ev_io_stop(loop_.raw(), &m.io);
    return;
  }
  m.line.append(bytes, static_cast<std::size_t>(n));
  for (std::size_t end; (end = m.line.find('\n')) != m.line.npos; m.line.erase(0, end + 1)) {
    Json::Value event = Read(m.line.substr(0, end));
    if (!event.isObject()) {  // a sanitizer's report, a crash's last words
      Json::Value v;
      v["event"] = "words";
      v["member"] = m.index;
      v["text"] = m.line.substr(0, end);
      Note(v);
      continue;
    }
    const std::string what = event["event"].isString() ? event["event"].asString() : "";
    if (what == "listening" && event["front"] == "cluster") {
      m.up = true;
      if (plan_.per_s > 0) {
        rig::CrowdPlan plan;
        plan.per_s = plan_.per_s;
        plan.run = 50'000;
        plan.keyed = plan_.copies > 1;
        // The platform's own: up to half a second after its time an answer earns nothing, and is not lost.
        plan.slack = 500'000;
        plan.prefix = std::string(1, static_cast<char>('a' + m.index)) + std::to_string(++m.starts) + "-";
        m.crowd = std::make_unique<rig::Crowd>(shared_, *m.audit, plan, m.at,
                                               seed_ + static_cast<std::uint64_t>(m.index));
      }
    }
    static const std::set<std::string> kKept = {"member", "standing", "twins",  "cluster",
                                                "copies", "store",    "ingress"};
    // Of connections: those of clients that the program ended by itself, for want of room or time.
    const bool ended_here = what == "conn" && event["with"].asString().starts_with("ingress") &&
                            event["end"] != "peer_closed" && event["end"] != "answered";
    if (!ended_here && !kKept.contains(what)) continue;
    Json::Value v;
    v["event"] = "log";
    v["member"] = m.index;
    v["line"] = event;
    Note(v);
  }
}

// `signal`: what it is ended with; SIGTERM: it must end by itself, with 0.
void Fleet::End(Member& m, int signal) {
  if (m.pid <= 0) return;
  m.TakeCrowd();
  if (m.stopped) kill(m.pid, SIGCONT);
  kill(m.pid, signal);
  int status = 0;
  const double until = e2e::Now() + kEndWithin;
  while (waitpid(m.pid, &status, WNOHANG) == 0) {
    if (e2e::Now() > until) {
      Note("hangs", m.index);
      kill(m.pid, SIGKILL);
    }
    loop_.RunOnce();
    usleep(1000);
  }
  ReadLog(m);
  ev_io_stop(loop_.raw(), &m.io);
  close(m.log);
  m.pid = -1;
  Json::Value v;
  v["event"] = "end";
  v["member"] = m.index;
  v["as_expected"] = signal == SIGKILL ? WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL
                                       : WIFEXITED(status) && WEXITSTATUS(status) == 0;
  v["status"] = status;
  Note(v);
}

void Fleet::Take(const Step& s) {
  Json::Value v;
  v["event"] = "fault";
  v["kind"] = s.kind;
  for (const int i : s.of) v["of"].append(i);
  for (const int i : s.from) v["from"].append(i);
  for (const int i : s.to) v["to"].append(i);
  v["one_way"] = s.one_way;
  v["empty_disk"] = s.empty_disk;
  v["cut"] = s.weather.cut;
  v["loss"] = s.weather.loss;
  Note(v);
  for (const int i : s.of) {
    Member& m = *members_[static_cast<std::size_t>(i)];
    if (s.kind == "start") {
      if (s.empty_disk && m.pid <= 0) {
        std::filesystem::remove_all(m.folder + "/disk");
        std::filesystem::create_directories(m.folder + "/disk");
      }
      Start(m);
      continue;
    }
    m.disturbed = true;
    if (s.kind == "kill") End(m, SIGKILL);
    if (s.kind == "terminate") End(m, SIGTERM);
    if (m.pid <= 0) continue;
    if (s.kind == "stop") {
      m.TakeCrowd();
      m.stopped = true;
      kill(m.pid, SIGSTOP);
    } else if (s.kind == "continue" && m.stopped) {
      m.stopped = false;
      kill(m.pid, SIGCONT);
    }
  }
  const auto set = [&](int a, int b, const Weather& weather) {
    if (a == b) return;
    const auto i = static_cast<std::size_t>(a * plan_.members + b);
    const bool healed = weather_[i].cut && !weather.cut;
    weather_[i] = weather;
    if (!healed) return;
    ways_[i]->Healed();
    // These are without the ways from a member to itself.
    if (plan_.copies > 1)
      copy_ways_[static_cast<std::size_t>(a * (plan_.members - 1) + b - (b > a))]->Healed();
  };
  if (s.kind == "calm") {
    for (int a = 0; a < plan_.members; ++a) {
      for (int b = 0; b < plan_.members; ++b) set(a, b, Weather{});
    }
  } else if (s.kind == "weather") {
    for (const int a : s.from) {
      for (const int b : s.to) {
        set(a, b, s.weather);
        if (!s.one_way) set(b, a, s.weather);
      }
    }
  }
}

void Fleet::Turn(double seconds) {
  later_.At(loop_.Now() + static_cast<Micros>(seconds * 1e6), [this] { loop_.Stop(); });
  loop_.Run();
}

void Fleet::LookAll() {
  for (auto& m : members_) {
    if (m->pid <= 0) continue;
    Json::Value v = Read(Ask(m->console, "/v1/cluster/members"));
    v["event"] = "view";
    v["member"] = m->index;
    v["pid"] = m->pid;
    std::error_code none;
    std::int64_t open = 0;
    for ([[maybe_unused]] const auto& fd :
         std::filesystem::directory_iterator("/proc/" + std::to_string(m->pid) + "/fd", none))
      ++open;
    v["descriptors"] = Json::Int64(open);
    std::ifstream status("/proc/" + std::to_string(m->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmRSS:")) v["rss_kb"] = Json::Int64(std::stoll(line.substr(6)));
    }
    std::string figures = Ask(m->console, "/v1/metrics");
    for (std::size_t at = 0; (at = figures.find("app.fleet.", at)) != figures.npos; ++at) {
      const auto eq = figures.find('=', at);
      v["figures"][figures.substr(at + 10, eq - at - 10)] = Json::UInt64(std::stoull(figures.substr(eq + 1)));
    }
    Note(v);
  }
}

// While nobody asks for anything: what is under way at a moment is on no majority yet.
void Fleet::LookAtCopies() {
  for (auto& m : members_) {
    if (m->pid <= 0 || plan_.copies <= 1) continue;
    Json::Value copies = Read(Ask(m->console, "/v1/copies"));
    copies["event"] = "copies";
    copies["member"] = m->index;
    Note(copies);
  }
}

void Fleet::Play() {
  for (auto& m : members_) {
    if (std::find(plan_.late.begin(), plan_.late.end(), m->index) == plan_.late.end()) Start(*m);
  }
  const double until = e2e::Now() + kStartWithin;
  while (std::any_of(members_.begin(), members_.end(), [](const auto& m) { return m->pid > 0 && !m->up; })) {
    if (e2e::Now() > until) throw std::runtime_error("a member did not start");
    Turn(0.05);
  }
  if (plan_.takeover_ms > 0) {
    std::vector<net::Address> at;
    for (int i = 0; i < plan_.members; ++i) at.push_back(At(FaktoryAt(i)));
    jobs_ = std::make_unique<Jobs>(shared_, at, plan_.per_s);
  }
  const Micros from = loop_.Now();
  for (const Step& s : plan_.steps) {
    const double wait = s.at - static_cast<double>(loop_.Now() - from) / 1e6;
    if (wait > 0) Turn(wait);
    Take(s);
  }
  const double rest = plan_.seconds - static_cast<double>(loop_.Now() - from) / 1e6;
  if (rest > 0) Turn(rest);
  Turn(plan_.settle);
  LookAll();
  for (auto& m : members_) {
    if (m->crowd != nullptr) m->crowd->Stop();
  }
  if (jobs_) {
    jobs_->Stop();
    for (int n = 0; n < 20 && (n < 3 || !jobs_->Over()); ++n) Turn(1);
    Json::Value v = jobs_->Summary();
    v["event"] = "faktory";
    Note(v);
    jobs_.reset();
  }
  Turn(3.2);
  LookAtCopies();
  for (auto& m : members_) {
    if (m->crowd != nullptr && !m->crowd->idle()) m->audit->Break("a try is left without an answer");
    m->TakeCrowd();
    Json::Value v;
    v["event"] = "jobs";
    v["member"] = m->index;
    v["disturbed"] = m->disturbed;
    v["copies"] = plan_.copies;
    v["first"] = m->first;
    v["tries"] = m->tries;
    v["served"] = m->served;
    v["refused"] = m->refused;
    v["failed"] = m->failed;
    for (const auto& [rule, count] : m->audit->broken()) {
      v["broken"][rule] = count;
      v["first_broken"][rule] = m->audit->first(rule);
      v["story"][rule] = m->audit->StoryOf(m->audit->first(rule));
    }
    Note(v);
  }
  for (auto& m : members_) End(*m, SIGTERM);
}

}  // namespace heronway::faults
