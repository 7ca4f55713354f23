// Shared by the cases: starts the program as the deploy file does, and plays clients, workers and discovery
// on loopback. What is sent, answered and run goes to the record file. Exit status: 0 the rule held, 1 it was
// broken, 2 the case could not run.
#ifndef HERONWAY_REVIEW_COMMON_H_
#define HERONWAY_REVIEW_COMMON_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline double Now() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}
inline void Pause(double seconds) { usleep(static_cast<useconds_t>(seconds * 1e6)); }
inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Writes one line with the time since the start to the record and to standard output.
inline void Note(const char* format, ...) {
  static std::mutex lock;
  static FILE* file = [] {
    const char* name = getenv("RECORD");
    return fopen(name != nullptr ? name : "record.txt", "w");
  }();
  char text[2000];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  const std::lock_guard guard(lock);
  for (FILE* out : {file, stdout}) {
    if (out == nullptr) continue;
    fprintf(out, "%8.3f %s\n", Now(), text);
    fflush(out);
  }
}

// The first line of a message, for the record.
inline std::string FirstLine(const std::string& text) { return text.substr(0, text.find_first_of("\r\n")); }

// A loopback port below the range for outgoing connections that is free now, for TCP and UDP.
inline int FreePort() {
  static std::mt19937 random(static_cast<unsigned>(getpid()) ^ static_cast<unsigned>(time(nullptr)));
  static std::set<int> taken;
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = 12000 + static_cast<int>(random() % 18000);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<uint16_t>(port));
    bool free = !taken.contains(port);
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
      free = free && bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
      close(fd);
    }
    if (!free) continue;
    taken.insert(port);
    return port;
  }
  throw CannotRun("no free port");
}
inline std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

// A TCP connection with time limits. Failed calls return false or an empty text.
class Conn {
 public:
  explicit Conn(int fd = -1) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  static Conn To(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<uint16_t>(port));
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
      close(fd);
      return Conn(-1);
    }
    return Conn(fd);
  }
  Conn(Conn&& other) noexcept : fd_(std::exchange(other.fd_, -1)), input_(std::move(other.input_)) {}
  Conn& operator=(Conn&& other) noexcept {
    Close();
    fd_ = std::exchange(other.fd_, -1);
    input_ = std::move(other.input_);
    ended_ = other.ended_;
    return *this;
  }
  ~Conn() { Close(); }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }
  void Reset() {
    const linger hard{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool Send(const std::string& text) {
    for (std::size_t sent = 0; sent < text.size();) {
      const ssize_t n = fd_ < 0 ? -1 : send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads more bytes; false after `seconds` or once the connection has ended (`ended()`).
  bool Receive(double seconds) {
    if (fd_ < 0) return false;
    pollfd p{fd_, POLLIN, 0};
    if (poll(&p, 1, std::max(0, static_cast<int>(seconds * 1000))) <= 0) return false;
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      ended_ = true;
      return false;
    }
    input_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  bool ended() const { return ended_; }
  std::string ReadLine(double seconds) {
    const double until = Now() + seconds;
    for (;;) {
      if (const auto end = input_.find("\r\n"); end != std::string::npos) return Take(end + 2);
      if (fd_ < 0 || ended_ || Now() >= until) return "";
      Receive(until - Now());
    }
  }
  // Reads a whole HTTP message with a Content-Length.
  std::string ReadHttp(double seconds) {
    const double until = Now() + seconds;
    for (;;) {
      if (const auto end = input_.find("\r\n\r\n"); end != std::string::npos) {
        const auto at = input_.find("Content-Length: ");
        const std::size_t size = at == std::string::npos || at > end ? 0 : std::stoul(input_.substr(at + 16));
        if (input_.size() >= end + 4 + size) return Take(end + 4 + size);
      }
      if (fd_ < 0 || ended_ || Now() >= until) return "";
      Receive(until - Now());
    }
  }
  std::string TakeInput() { return std::exchange(input_, {}); }

 private:
  std::string Take(std::size_t n) {
    std::string out = input_.substr(0, n);
    input_.erase(0, n);
    return out;
  }
  int fd_;
  std::string input_;
  bool ended_ = false;
};

// Accepts connections, each of which is served by a thread of its own.
class Server {
 public:
  Server(int port, std::function<void(Conn)> serve) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<uint16_t>(port));
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd_, 64) != 0)
      throw CannotRun("cannot listen at port " + std::to_string(port));
    std::thread([this] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd] { serve_(Conn(fd)); }).detach();
      }
    }).detach();
  }

 private:
  int fd_;
  std::function<void(Conn)> serve_;
};

inline std::string HttpAnswer(int status, const std::string& body = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
// One call on a connection of its own; empty if there is no answer in time.
inline std::string HttpCall(int port, const std::string& method, const std::string& path,
                            const std::string& headers, const std::string& body, double seconds) {
  Conn c = Conn::To(port);
  if (!c.Send(method + " " + path + " HTTP/1.1\r\nHost: s\r\n" + headers +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
    return "";
  return c.ReadHttp(seconds);
}
inline int StatusOf(const std::string& answer) {
  return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
}
inline std::string HeaderOf(const std::string& message, const std::string& name) {
  const auto at = message.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 4;
  return message.substr(begin, message.find("\r\n", begin) - begin);
}
inline std::string BodyOf(const std::string& message) {
  const auto at = message.find("\r\n\r\n");
  return at == std::string::npos ? "" : message.substr(at + 4);
}

// Discovery: one list that does not change.
class Discovery {
 public:
  Discovery(int port, std::string instances)
      : instances_(std::move(instances)), server_(port, [this](Conn c) { Serve(std::move(c)); }) {}

 private:
  void Serve(Conn c) {
    for (;;) {
      const std::string call = c.ReadHttp(120);
      if (call.empty()) return;
      const bool watch = Contains(FirstLine(call), "from=1&") || Contains(FirstLine(call), "from=1 ");
      if (watch) {
        const auto at = call.find("hold_ms=");
        const double hold = at == std::string::npos ? 0 : std::atof(call.c_str() + at + 8) / 1000;
        Pause(std::min(hold, 60.0));
      }
      c.Send(HttpAnswer(200, std::string("{\"generation\":1,\"reset\":") + (watch ? "false" : "true") +
                                 ",\"instances\":[" + (watch ? "" : instances_) + "]}"));
    }
  }
  std::string instances_;
  Server server_;
};

inline std::string Instance(const std::string& name, int port, const std::string& zone = "east-quay") {
  return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"" + Loopback(port) + "\",\"zone\":\"" + zone +
         "\",\"machineType\":\"bench-a\",\"cell\":0,\"lifecycle\":\"ready\",\"weight\":1.0,\"startedAtMs\":"
         "0}";
}

// A temporary folder, removed at the end.
class Folder {
 public:
  Folder() {
    const char* base = getenv("TMPDIR");
    path_ = std::string(base != nullptr ? base : "/tmp") + "/heronway-review-XXXXXX";
    if (mkdtemp(path_.data()) == nullptr) throw CannotRun("no temporary folder");
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ + "/" + name) << text;
    return path_ + "/" + name;
  }
  std::string Make(const std::string& name) const {
    std::filesystem::create_directories(path_ + "/" + name);
    return path_ + "/" + name;
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// One scheduler: `exec build/heronway serve` with EDGE_CONFIG, as the deploy file has it, and the operators'
// files. Its log goes to a file in the case's temporary folder.
class Scheduler {
 public:
  Scheduler(const Folder& folder, std::string name, const std::string& config, const std::string& faktory,
            const std::string& options)
      : name_(std::move(name)),
        config_(folder.Write(name_ + "-config.json", config)),
        faktory_(folder.Write(name_ + "-faktory.json", faktory)),
        options_(folder.Write(name_ + "-heronway.json", options)),
        log_(folder.path() + "/" + name_ + ".log") {}
  ~Scheduler() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  void Start() {
    Note("%s: start", name_.c_str());
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      setenv("EDGE_CONFIG", config_.c_str(), 1);
      const char* program = getenv("HERONWAY");
      execl(program != nullptr ? program : "build/heronway", "heronway", "serve", "--faktory",
            faktory_.c_str(), "--options", options_.c_str(), nullptr);
      _exit(127);
    }
  }
  void SetConfig(const std::string& config) { std::ofstream(config_) << config; }
  // A planned stop: SIGTERM, then the end of the process.
  void Stop() {
    Signal(SIGTERM);
    for (const double until = Now() + 10; running();) {
      if (Now() > until) throw CannotRun(name_ + " does not end after SIGTERM");
      Pause(0.02);
    }
    pid_ = -1;
  }
  void Signal(int number) {
    Note("%s: signal %s", name_.c_str(), strsignal(number));
    kill(pid_, number);
  }
  void Kill() {
    Signal(SIGKILL);
    waitpid(std::exchange(pid_, -1), nullptr, 0);
  }
  bool running() { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
  std::string Log() const {
    std::ifstream in(log_);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }
  // Copies the lines of the log that contain `part` to the record.
  void NoteLog(const std::string& part, int most = 100) const {
    std::istringstream lines(Log());
    for (std::string line; most > 0 && std::getline(lines, line);) {
      if (!Contains(line, part)) continue;
      Note("log of %s: %s", name_.c_str(), line.c_str());
      --most;
    }
  }

 private:
  std::string name_, config_, faktory_, options_, log_;
  pid_t pid_ = -1;
};

inline bool WaitUntil(const std::function<bool()>& holds, double seconds) {
  for (const double until = Now() + seconds; Now() < until; Pause(0.05)) {
    if (holds()) return true;
  }
  return false;
}

// The configuration that the platform gives, in the form of DEPLOY, with figures of the site quay-parcels.
// `more_classes`: further safe classes, at the end of the list.
inline std::string ConfigJson(const std::string& name, int listen, int discovery, int console,
                              const std::vector<const char*>& more_classes = {}) {
  const auto job = [](const char* class_name, const char* effect, int aim_ms, int deadline_ms) {
    return std::string("{\"name\":\"") + class_name + "\",\"aim\":" + std::to_string(aim_ms * 1000) +
           ",\"deadline\":" + std::to_string(deadline_ms * 1000) + ",\"idempotency\":\"" + effect +
           "\",\"keyScope\":\"all\",\"keyTtl\":2500000,\"value\":1.0,\"lateWorth\":0.3,\"stream\":false}";
  };
  std::string more, more_stretch;
  for (const char* class_name : more_classes) {
    more += "," + job(class_name, "idempotent", 300, 3'500);
    more_stretch += ",2.0";
  }
  return "{\"name\":\"" + name + "\",\"listen\":\"" + Loopback(listen) + "\",\"discovery\":\"" +
         Loopback(discovery) + "\"," +
         (console > 0 ? "\"console\":\"" + Loopback(console) + "\"," : std::string()) +
         "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
         "\"known\":{\"generation\":0,\"reset\":true,\"instances\":[]},\"settings\":{\"classes\":[" +
         job("label-read", "idempotent", 300, 3'500) + "," +
         job("customs-entry", "at_most_once", 450, 7'000) + "," +
         job("weigh-in", "deduplicated", 350, 12'000) + more +
         "],\"dcs\":[\"east-quay\",\"west-quay\"],\"kinds\":[\"bench-a\",\"bench-b\"],\"az\":0,"
         "\"registryMode\":\"ask\",\"peersTotal\":3,\"familyInfo\":{\"tellsStart\":true,\"progress\":1000000,"
         "\"classStretch\":[2.0,2.0,1.75" +
         more_stretch +
         "],\"reportX0\":\"free_slots\"},"
         "\"loadInfo\":{\"how\":\"inline\",\"fields\":[\"waiting\",\"x0\"]},"
         "\"limits\":{\"maxAttempts\":2,\"mayCancel\":true,\"probes\":true,\"retryAfter\":true,"
         "\"secondCopies\":false,\"connIdle\":12000000,\"dialTimeout\":400000,\"mostHeld\":20000},"
         "\"rules\":{\"askEvery\":10000000,\"coldFrom\":0.35,\"warmUp\":8000000,\"overloadFactor\":2.5,"
         "\"fall\":2000000,\"stopSendingWithin\":1500000,\"graceToAnswer\":20000}}}";
}

inline void WaitReady(int port, Scheduler& scheduler) {
  if (!WaitUntil(
          [&] { return Contains(HttpCall(port, "GET", "/ready", "Connection: close\r\n", "", 1), " 200 "); },
          30)) {
    Note("%s", scheduler.Log().c_str());
    throw CannotRun("a scheduler is not ready after 30 s");
  }
}

// Connects to the Faktory front and says HELLO, as a worker if there is a wid.
inline Conn FaktoryHello(int port, const std::string& wid = "") {
  Conn c = Conn::To(port);
  if (!Contains(c.ReadLine(5), "+HI")) return Conn(-1);
  c.Send("HELLO {\"v\":2" + (wid.empty() ? "" : ",\"wid\":\"" + wid + "\"") + "}\r\n");
  if (!Contains(c.ReadLine(5), "+OK")) return Conn(-1);
  return c;
}
inline std::string TextOf(const std::string& json, const std::string& field) {
  const auto at = json.find("\"" + field + "\":\"");
  if (at == std::string::npos) return "";
  const auto begin = at + field.size() + 4;
  return json.substr(begin, json.find('"', begin) - begin);
}

inline bool Trouble() {
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Runs the case and turns its outcome into the exit status.
inline int Main(const std::function<bool()>& rule_held) {
  signal(SIGPIPE, SIG_IGN);
  int status = 2;
  try {
    Note("disruption: %s", Trouble() ? "on" : "off (TROUBLE=0)");
    status = rule_held() ? 0 : 1;
    Note("%s", status == 0 ? "the rule held" : "THE RULE WAS BROKEN");
  } catch (const std::exception& e) {
    Note("the case could not run: %s", e.what());
  }
  std::fflush(nullptr);
  _exit(status);  // threads of stand-ins still run
}

}  // namespace review

#endif  // HERONWAY_REVIEW_COMMON_H_
