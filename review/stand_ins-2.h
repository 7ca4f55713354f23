// Stand-ins for the cases 6 to 10: processes of the program, discovery, workers, clients, a proxy. Plain
// blocking sockets and threads, loopback addresses only. Needs the C++ standard library and POSIX, nothing
// else.
#ifndef HERONWAY_REVIEW_STAND_INS_2_H_
#define HERONWAY_REVIEW_STAND_INS_2_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Milliseconds since the case began.
inline double Now() {
  static const auto began = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - began).count();
}
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline long long WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// What was sent, answered and run: a line an event, in record.txt of the case's folder.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.1f %s\n", Now(), text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline void Note(const char* format, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  Record::Get().Line(text);
}

// Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] void End(int status);
[[noreturn]] inline void CannotRun(const std::string& why) {
  Note("CANNOT RUN: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  End(2);
}

// A port that is free for TCP and UDP, below those that the system gives to outgoing connections.
inline int FreePort() {
  static std::mutex mutex;
  static unsigned next = static_cast<unsigned>(getpid()) * 97U;
  const std::lock_guard lock(mutex);
  for (int tries = 0; tries < 1000; ++tries) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int port = 11'000 + static_cast<int>(next++ % 20'000U);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    bool free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = socket(AF_INET, type, 0);
      free = free && bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
      close(fd);
    }
    if (free) return port;
  }
  CannotRun("no free port");
}
inline std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

// A folder of this run alone, removed at the end.
inline std::string& Folder() {
  static std::string folder;
  return folder;
}
inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}

// A process of the program, started with the run line of the deploy file.
class Process {
 public:
  Process(std::string name, std::string config, std::string options, std::string faktory)
      : name_(std::move(name)),
        config_(std::move(config)),
        options_(std::move(options)),
        faktory_(std::move(faktory)) {
    const std::lock_guard lock(Mutex());
    All().push_back(this);
  }
  void Start() {
    const std::string config = Folder() + "/" + name_ + ".json",
                      options = Folder() + "/" + name_ + ".options.json",
                      faktory = Folder() + "/" + name_ + ".faktory.json",
                      log = Folder() + "/" + name_ + ".log";
    WriteFile(config, config_);
    WriteFile(options, options_);
    WriteFile(faktory, faktory_);
    // The run line of deploy/balancer.toml, with the operators' files of this process.
    const std::string command = "EDGE_CONFIG='" + config + "' exec build/heronway serve --options '" +
                                options + "' --faktory '" + faktory + "'";
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(2);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Note("process %s started", name_.c_str());
  }
  void Signal(int number) {
    Note("process %s gets signal %s", name_.c_str(), strsignal(number));
    if (pid_ > 0) kill(pid_, number);
  }
  // Waits for the end; returns the exit status, 128 + the signal, or -1 if it is still there.
  int WaitEnd(double ms) {
    const double until = Now() + ms;
    while (pid_ > 0) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        const int code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        Note("process %s ended with %d", name_.c_str(), code);
        return last_ = code;
      }
      if (Now() >= until) return -1;
      SleepMs(5);
    }
    return last_;
  }
  void KillNow() {
    if (pid_ <= 0) return;
    Signal(SIGKILL);
    WaitEnd(5000);
  }
  void SetConfig(std::string config) { config_ = std::move(config); }
  void SetOptions(std::string options) { options_ = std::move(options); }
  const std::string& options() const { return options_; }
  std::string config_path() const { return Folder() + "/" + name_ + ".json"; }
  std::string Log() const {
    std::ifstream in(Folder() + "/" + name_ + ".log");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }
  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }
  static std::vector<Process*>& All() {
    static std::vector<Process*> all;
    return all;
  }
  static std::mutex& Mutex() {
    static std::mutex mutex;
    return mutex;
  }

 private:
  std::string name_, config_, options_, faktory_;
  pid_t pid_ = -1;
  int last_ = -1;
};

[[noreturn]] inline void End(int status) {
  for (Process* p : Process::All()) {
    if (p->pid() > 0) {
      kill(p->pid(), SIGCONT);
      kill(p->pid(), SIGKILL);
      int ignored = 0;
      waitpid(p->pid(), &ignored, 0);
    }
  }
  Note("end of the case: %s", status == 0   ? "the rule held"
                              : status == 1 ? "the rule was broken"
                                            : "could not run");
  if (std::getenv("KEEP") == nullptr && !Folder().empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(Folder(), ignored);
  }
  std::fflush(nullptr);
  _exit(status);
}

// Called first. `folder`: the case's folder, from the command line.
inline bool Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Now();
  if (argc < 2) {
    std::fprintf(stderr, "usage: %s CASE_FOLDER (from the root of the repository)\n", argv[0]);
    _exit(2);
  }
  Record::Get().Open(std::string(argv[1]) + "/record.txt");
  const char* tmp = std::getenv("TMPDIR");
  std::string pattern = std::string(tmp != nullptr ? tmp : "/tmp") + "/review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) CannotRun("no temporary folder");
  Folder() = pattern;
  if (access("build/heronway", X_OK) != 0) CannotRun("build/heronway is not built");
  std::thread([] {  // the bound on a case
    SleepMs(117'000);
    CannotRun("118 s are over");
  })
      .detach();
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  Note("TROUBLE=%d", with_trouble ? 1 : 0);
  return with_trouble;
}

// Sockets.

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  // Null if the connection is refused or does not come up in time.
  static std::shared_ptr<Socket> Connect(int port, double ms = 1000) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto s = std::make_shared<Socket>(fd);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    timeval limit{static_cast<time_t>(ms / 1000),
                  static_cast<suseconds_t>(static_cast<long>(ms) % 1000 * 1000)};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return nullptr;
    return s;
  }
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads some bytes into `buffer`. 1: some came; 0: the time is over; -1: the connection has ended.
  int Read(double ms) {
    pollfd p{fd_, POLLIN, 0};
    const int ready = poll(&p, 1, static_cast<int>(ms < 0 ? 0 : ms));
    if (ready <= 0) return 0;
    char bytes[16384];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return -1;
    buffer.append(bytes, static_cast<std::size_t>(n));
    return 1;
  }
  // A line without its end; null where the connection ended or the time is over.
  std::optional<std::string> Line(double ms) {
    const double until = Now() + ms;
    for (;;) {
      const auto end = buffer.find("\r\n");
      if (end != buffer.npos) {
        std::string line = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        return line;
      }
      const double left = until - Now();
      if (left <= 0) return std::nullopt;
      const int got = Read(left);
      if (got < 0) {
        ended = true;
        return std::nullopt;
      }
    }
  }
  std::optional<std::string> Bytes(std::size_t count, double ms) {
    const double until = Now() + ms;
    while (buffer.size() < count) {
      const double left = until - Now();
      if (left <= 0 || Read(left) < 0) return std::nullopt;
    }
    std::string out = buffer.substr(0, count);
    buffer.erase(0, count);
    return out;
  }
  void Reset() {
    const linger hard{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  void Shutdown() {
    if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  int fd() const { return fd_; }
  std::string buffer;
  bool ended = false;

 private:
  int fd_;
};

// Accepts connections, each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Socket>)>;
  Server(int port, Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd_, 512) != 0)
      CannotRun("cannot listen at " + At(port));
    std::thread([this] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, s = std::make_shared<Socket>(fd)] { handler_(s); }).detach();
      }
    }).detach();
  }

 private:
  Handler handler_;
  int fd_;
};

// HTTP.

struct Message {
  std::string start;                           // the first line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};
inline std::optional<Message> ReadMessage(Socket& s, double ms) {
  const double until = Now() + ms;
  Message m;
  const auto first = s.Line(ms);
  if (!first) return std::nullopt;
  m.start = *first;
  for (;;) {
    const auto line = s.Line(until - Now());
    if (!line) return std::nullopt;
    if (line->empty()) break;
    const auto colon = line->find(':');
    if (colon == line->npos) continue;
    std::string name = line->substr(0, colon), value = line->substr(colon + 1);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    while (!value.empty() && value.front() == ' ') value.erase(0, 1);
    m.headers[name] = value;
  }
  if (const std::string length = m.Header("content-length"); !length.empty()) {
    const auto body = s.Bytes(static_cast<std::size_t>(std::atol(length.c_str())), until - Now());
    if (!body) return std::nullopt;
    m.body = *body;
  }
  return m;
}
inline std::string FormatRequest(const std::string& method, const std::string& path,
                                 const std::vector<std::pair<std::string, std::string>>& headers,
                                 const std::string& body) {
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: service.internal\r\n";
  for (const auto& [name, value] : headers) out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string FormatResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
// A call on a connection of its own; null where no answer came.
inline std::optional<Message> Call(int port, const std::string& method, const std::string& path, double ms,
                                   const std::string& body = "") {
  const auto s = Socket::Connect(port, ms);
  if (s == nullptr || !s->Send(FormatRequest(method, path, {}, body))) return std::nullopt;
  return ReadMessage(*s, ms);
}
inline bool WaitReady(int port, double ms) {
  const double until = Now() + ms;
  while (Now() < until) {
    const auto answer = Call(port, "GET", "/ready", 500);
    if (answer && answer->status() == 200) return true;
    SleepMs(50);
  }
  return false;
}

// The value of a text or number in JSON, by its name; enough for what the stand-ins read.
inline std::string Field(const std::string& json, const std::string& name) {
  const auto at = json.find("\"" + name + "\"");
  if (at == json.npos) return "";
  auto from = json.find(':', at);
  if (from == json.npos) return "";
  ++from;
  while (from < json.size() && json[from] == ' ') ++from;
  if (from < json.size() && json[from] == '"') {
    const auto end = json.find('"', from + 1);
    return json.substr(from + 1, end - from - 1);
  }
  const auto end = json.find_first_of(",}]", from);
  return json.substr(from, end - from);
}

// Discovery: a list of workers with generations; holds a watch until there is news.
class Discovery {
 public:
  struct Instance {
    std::string id, at, zone, state;
  };
  explicit Discovery(int port)
      : port_(port), server_(port, [this](std::shared_ptr<Socket> s) { Serve(*s); }) {}
  void Set(const Instance& instance) {
    {
      const std::lock_guard lock(mutex_);
      ++generation_;
      instances_[instance.id] = instance;
      changed_at_[instance.id] = generation_;
    }
    Note("discovery %d: generation %d, %s is %s", port_, generation_, instance.id.c_str(),
         instance.state.c_str());
    changed_.notify_all();
  }
  // Answers come this much later than they would.
  void Delay(double ms) { delay_ = ms; }
  int port() const { return port_; }
  std::atomic<int> calls{0}, whole_lists_sent{0};
  std::function<void(const std::string& call, int generation, bool whole, bool written)> on_answer;

 private:
  void Serve(Socket& s) {
    for (;;) {
      const auto request = ReadMessage(s, 120'000);
      if (!request) return;
      ++calls;
      const std::string target = request->start.substr(0, request->start.rfind(' '));
      const auto number = [&target](const char* name, long otherwise) {
        const auto at = target.find(name);
        return at == target.npos ? otherwise : std::atol(target.c_str() + at + std::strlen(name));
      };
      const long from = number("from=", -1);
      const double hold = static_cast<double>(std::min(number("hold_ms=", 0), 60'000L));
      std::unique_lock lock(mutex_);
      if (from >= 0)
        changed_.wait_for(lock, std::chrono::duration<double, std::milli>(hold),
                          [&] { return generation_ > from; });
      const int generation = generation_;
      const bool whole = from <= 0 || from > generation;
      std::string list;
      for (const auto& [id, i] : instances_) {
        if (!whole && changed_at_[id] <= from) continue;
        if (whole && i.state == "gone") continue;
        list += std::string(list.empty() ? "" : ",") + "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" +
                i.at + "\",\"zone\":\"" + i.zone +
                "\",\"machineType\":\"fast-2core\",\"cell\":0,\"lifecycle\":\"" + i.state +
                "\",\"weight\":1.0,\"startedAtMs\":0}";
      }
      lock.unlock();
      SleepMs(delay_);
      const bool sent = s.Send(FormatResponse(200, "{\"generation\":" + std::to_string(generation) +
                                                       ",\"reset\":" + (whole ? "true" : "false") +
                                                       ",\"instances\":[" + list + "]}"));
      if (on_answer) on_answer(target, generation, whole, sent);
      if (!sent) return;
    }
  }
  int port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int generation_ = 0;
  std::atomic<double> delay_{0};
  std::map<std::string, Instance> instances_;
  std::map<std::string, int> changed_at_;
  Server server_;
};

// Settings like those of the site bangkok-photo-jobs, as a scheduler of a small deployment is given them.
struct Site {
  // The classes, as JSON objects joined with commas.
  std::string classes =
      R"({"name":"album-preview","aim":400000,"deadline":6000000,"idempotency":"idempotent",)"
      R"("keyScope":"all","keyTtl":5000000,"value":1.0,"lateWorth":0.5},)"
      R"({"name":"album-save","aim":500000,"deadline":12000000,"idempotency":"deduplicated",)"
      R"("keyScope":"zone","keyTtl":20000000,"value":2.0,"lateWorth":0.25},)"
      R"({"name":"photo-book","aim":600000,"deadline":25000000,"idempotency":"deduplicated",)"
      R"("keyScope":"zone","keyTtl":40000000,"value":10.0,"lateWorth":0.2},)"
      R"({"name":"unsafe","aim":600000,"deadline":12000000,"idempotency":"at_most_once",)"
      R"("keyScope":"all","keyTtl":1000000,"value":2.0,"lateWorth":0.2})";
  int peers = 1;
  int sockets = 1024, memory_mb = 192;
};
inline std::string Config(const Site& site, const std::string& name, int listen, int discovery, int console,
                          int zone) {
  return "{\"name\":\"" + name + "\",\"listen\":\"" + At(listen) + "\",\"discovery\":\"" + At(discovery) +
         "\",\"console\":\"" + At(console) + "\",\"seed\":\"8c1f30d27a5be96" + std::to_string(zone) +
         "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(site.memory_mb) +
         ",\"sockets\":" + std::to_string(site.sockets) +
         "},\"known\":{\"generation\":0,\"reset\":true,\"instances\":[]},\"settings\":{\"classes\":[" +
         site.classes +
         "],\"dcs\":[\"bangna\",\"lat-krabang\",\"nonthaburi\"],\"kinds\":[\"fast-2core\",\"slow-2core\"],"
         "\"az\":" +
         std::to_string(zone) + ",\"peersTotal\":" + std::to_string(site.peers) +
         R"(,"registryMode":"ask","family":"jobs","familyInfo":{"tellsStart":true,)"
         R"("progress":2000000,"classStretch":[1.75,1.75,1.75,1.75],"classKind":[-1,-1,-1,-1],)"
         R"("reportX0":"free_slots","reportX1":"free_memory","queueOrder":"fifo"},)"
         R"("clients":{"marksRetry":true},"loadInfo":{"how":"inline","fields":["waiting","cpu","x0","x1"]},)"
         R"("limits":{"maxAttempts":3,"mayCancel":true,"probes":true,"retryAfter":true,)"
         R"("secondCopies":false,"streamsPerConn":1,"mostHeld":20000,"maxRetryAfter":2000000,)"
         R"("connIdle":5000000,"dialTimeout":250000,"cpuUsPerS":8000},)"
         R"("rules":{"askEvery":10000000,"coldFrom":0.3,"warmUp":8200000,"overloadFactor":3.0,)"
         R"("fall":3000000,"graceToAnswer":20000,"stopSendingWithin":2000000},"tick":5000,)"
         R"("weightSource":"nominal"}})";
}

// A photo worker: takes jobs over HTTP, answers 202, and reports each job's start and end to the scheduler
// that sent it, or to any other where that one is not there. Each scheduler has an address of its own for
// it.
class PhotoWorker {
 public:
  struct Run {
    std::string worker, zone, request, key, path;
    double at;
  };
  PhotoWorker(std::string id, std::string zone, std::vector<int> schedulers, double run_ms)
      : id_(std::move(id)), zone_(std::move(zone)), schedulers_(std::move(schedulers)), run_ms_(run_ms) {
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
      ports_.push_back(FreePort());
      servers_.push_back(
          std::make_unique<Server>(ports_.back(), [this, i](std::shared_ptr<Socket> s) { Serve(*s, i); }));
    }
  }
  int port(std::size_t scheduler) const { return ports_[scheduler]; }
  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  Discovery::Instance Listed(std::size_t scheduler, const std::string& state = "ready") const {
    return {id_, At(ports_[scheduler]), zone_, state};
  }
  // What came whole, in the order of arrival, by all workers.
  static std::vector<Run> Runs() {
    const std::lock_guard lock(Mutex());
    return All();
  }
  void RunTime(double ms) { run_ms_ = ms; }
  // After the answer to a job: what it reports. Empty: started, then done.
  std::function<void(const Run&, std::size_t scheduler)> on_job;
  // Tells the scheduler; at most ten times, until it is answered with 200 or 204.
  void Report(std::size_t scheduler, const std::string& request, const std::string& state,
              const std::string& more) {
    const std::string body =
        "{\"id\":\"" + request + "\",\"from\":\"" + id_ + "\",\"state\":\"" + state + "\"" + more + "}";
    for (int tries = 0; tries < 10; ++tries) {
      const int port = schedulers_[(scheduler + (tries + 1) / 2) % schedulers_.size()];
      const auto answer = Call(port, "POST", "/_jobs/news", 2000, body);
      Note("worker %s tells %d that %s is %s: %d", id_.c_str(), port, request.c_str(), state.c_str(),
           answer ? answer->status() : 0);
      if (answer && (answer->status() == 200 || answer->status() == 204)) return;
      SleepMs(500);
    }
  }

 private:
  static std::vector<Run>& All() {
    static std::vector<Run> all;
    return all;
  }
  static std::mutex& Mutex() {
    static std::mutex mutex;
    return mutex;
  }
  void Serve(Socket& s, std::size_t scheduler) {
    for (;;) {
      const auto m = ReadMessage(s, 120'000);
      if (!m) return;
      if (m->start.rfind("GET ", 0) == 0) {
        s.Send(FormatResponse(200, "queue=0,util=0.1,x0=2,x1=2"));
        continue;
      }
      if (m->start.rfind("DELETE ", 0) == 0) {  // "A cancel or a time-out stops nothing"
        Note("worker %s: %s", id_.c_str(), m->start.c_str());
        s.Send(FormatResponse(200, ""));
        continue;
      }
      const std::string path = m->start.substr(5, m->start.rfind(' ') - 5);
      Run run{id_, zone_, m->Header("req-id"), m->Header("idempotency-key"), path, Now()};
      {
        const std::lock_guard lock(Mutex());
        All().push_back(run);
      }
      Note("worker %s (%s) gets %s, key %s, from scheduler %zu, deadline %s ms", id_.c_str(), zone_.c_str(),
           run.request.c_str(), run.key.empty() ? "-" : run.key.c_str(), scheduler + 1,
           m->Header("req-deadline-ms").c_str());
      if (!s.Send(FormatResponse(202, ""))) return;
      std::thread([this, run, scheduler] {
        if (on_job) return on_job(run, scheduler);
        Report(scheduler, run.request, "started", "");
        SleepMs(run_ms_);
        Report(scheduler, run.request, "done",
               ",\"result\":\"result of " + run.request + "\",\"load\":{\"queue\":0,\"x0\":2,\"x1\":2}");
      }).detach();
    }
  }
  std::string id_, zone_;
  std::vector<int> schedulers_;  // the ports at which they listen
  std::atomic<double> run_ms_;
  std::vector<int> ports_;
  std::vector<std::unique_ptr<Server>> servers_;
};

// Faktory, as its clients and workers speak it.
class Faktory {
 public:
  // Null where the connection or the greeting fails. `wid`: empty for a client.
  static std::shared_ptr<Faktory> Connect(int port, const std::string& wid = "",
                                          const std::string& labels = "") {
    auto f = std::make_shared<Faktory>();
    f->socket_ = Socket::Connect(port, 1000);
    if (f->socket_ == nullptr) return nullptr;
    const auto hi = f->socket_->Line(2000);
    if (!hi || hi->rfind("+HI", 0) != 0) return nullptr;
    const std::string hello = wid.empty() ? "HELLO {\"v\":2}\r\n"
                                          : "HELLO {\"v\":2,\"hostname\":\"h\",\"pid\":1,\"wid\":\"" + wid +
                                                "\",\"labels\":[" + labels + "]}\r\n";
    if (!f->socket_->Send(hello)) return nullptr;
    const auto ok = f->socket_->Line(2000);
    if (!ok || *ok != "+OK") return nullptr;
    return f;
  }
  bool Send(const std::string& line) { return socket_->Send(line + "\r\n"); }
  std::optional<std::string> Reply(double ms) { return socket_->Line(ms); }
  // A job, or null for none; `broken` tells that the connection has ended.
  std::optional<std::string> Fetch(const std::string& queues, double ms, bool& broken) {
    if (!Send("FETCH " + queues)) {
      broken = true;
      return std::nullopt;
    }
    const auto head = socket_->Line(ms);
    if (!head) {
      broken = true;
      return std::nullopt;
    }
    if (head->empty() || (*head)[0] != '$' || *head == "$-1") return std::nullopt;
    const auto body = socket_->Bytes(static_cast<std::size_t>(std::atol(head->c_str() + 1)) + 2, ms);
    if (!body) {
      broken = true;
      return std::nullopt;
    }
    return body->substr(0, body->size() - 2);
  }
  Socket& socket() { return *socket_; }

 private:
  std::shared_ptr<Socket> socket_;
};
inline std::string Job(const std::string& jid, const std::string& type, const std::string& more = "",
                       const std::string& args = "") {
  return "{\"jid\":\"" + jid + "\",\"jobtype\":\"" + type + "\",\"args\":[" + args + "]" + more + "}";
}

// A scheduler with its addresses and, where it is durable, its folder.
struct Scheduler {
  std::string name;
  int http = 0, faktory = 0, console = 0, cluster = 0, copies = 0, zone = 0;
  std::string disk;
  std::unique_ptr<Process> process;
  // Whether it runs the jobs of a group whose owner is `owner`, and how many voters that group has.
  bool Holds(const std::string& owner, const std::string& front) const {
    const auto answer = Call(console, "GET", "/v1/copies", 1000);
    if (!answer) return false;
    const auto at = answer->body.find("\"group\":\"" + owner + "/" + front + "/");
    if (at == answer->body.npos) return false;
    const auto held = answer->body.find("\"held\":", at);
    return held != answer->body.npos && answer->body.compare(held + 7, 4, "true") == 0;
  }
  int Voters(const std::string& owner, const std::string& front) const {
    const auto answer = Call(console, "GET", "/v1/copies", 1000);
    if (!answer) return 0;
    const auto at = answer->body.find("\"group\":\"" + owner + "/" + front + "/");
    if (at == answer->body.npos) return 0;
    const auto end = answer->body.find("\"term\":", at);
    int votes = 0;
    for (auto v = answer->body.find("\"votes\":true", at); v != answer->body.npos && v < end;
         v = answer->body.find("\"votes\":true", v + 1))
      ++votes;
    return votes;
  }
};
// The operators' file of a durable scheduler that knows others, as docs/operators-copies.md sets it up.
inline std::vector<std::unique_ptr<Scheduler>> Fleet(const Site& site, int count, int discovery,
                                                     int takeover_ms, bool with_faktory,
                                                     const std::string& durable_more = "") {
  std::vector<std::unique_ptr<Scheduler>> all;
  for (int i = 0; i < count; ++i) {
    auto s = std::make_unique<Scheduler>();
    s->name = "s" + std::to_string(i + 1);
    s->zone = i % 3;
    for (int* port : {&s->http, &s->faktory, &s->console, &s->cluster, &s->copies}) *port = FreePort();
    s->disk = Folder() + "/disk-" + s->name;
    std::filesystem::create_directory(s->disk);
    all.push_back(std::move(s));
  }
  for (auto& s : all) {
    const std::string options =
        R"({"log":{"level":"info","connections":false},"durable":{"enabled":true,"folder":")" + s->disk +
        "\"" + durable_more + R"(},"cluster":{"enabled":true,"fleet":"bangkok","listen":")" + At(s->cluster) +
        R"(","join":[")" + At(all[0]->cluster) + "\",\"" + At(all[1 % all.size()]->cluster) +
        R"("],"copies":3,"copies_listen":")" + At(s->copies) + R"(","takeover_ms":)" +
        std::to_string(takeover_ms) + "}}";
    const std::string faktory = std::string(R"({"enabled":)") + (with_faktory ? "true" : "false") +
                                R"(,"listen":")" + At(s->faktory) +
                                R"(","password":"","most_connections":1000})";
    s->process = std::make_unique<Process>(
        s->name, Config(site, s->name, s->http, discovery, s->console, s->zone), options, faktory);
  }
  return all;
}

}  // namespace review

#endif  // HERONWAY_REVIEW_STAND_INS_2_H_
