#include "tests/faults/jobs.h"

#include <algorithm>
#include <utility>

namespace heronway::faults {
namespace {

constexpr Micros kAgain = 150'000;
constexpr Micros kPatience = 4'000'000;  // for a reply; a FETCH that waits is answered within 2 s
constexpr const char* kClasses[] = {"preview", "save", "once"};

}  // namespace

// A connection that is dialled again for as long as it is wanted; one command at a time.
struct Jobs::Link : net::Stream::Owner {
  Link(net::StreamContext& s, const net::Address& to, std::string hello)
      : shared(s),
        at(to),
        hello_line(std::move(hello)),
        again(s.loop, [this] { Dial(); }),
        patience(s.loop, [this] { Break(); }) {
    again.Start(1);
  }
  ~Link() override {
    reply = nullptr;  // whoever waits for it may be gone already
    Break();
  }
  void Dial() {
    bytes.clear();
    greeted = false;
    stream = std::make_shared<net::Stream>(shared, at, kPatience, "jobs", *this);
    patience.Start(kPatience);
  }
  void Break() {
    if (stream && stream->open()) stream->Close(net::Reason::kAnswered);
    OnEnd(net::Reason::kAnswered);
  }
  void OnEnd(net::Reason) override {
    if (!stream) return;
    shared.loop.DestroyLater(std::move(stream));
    stream.reset();
    patience.Stop();
    greeted = false;
    if (const auto then = std::exchange(reply, nullptr)) then("");
    again.Start(kAgain);
  }
  void OnData(std::string_view came) override {
    bytes.append(came);
    while (stream && stream->open()) {
      const auto end = bytes.find("\r\n");
      if (end == bytes.npos) return;
      std::string line = bytes.substr(0, end);
      std::size_t used = end + 2;
      if (line[0] == '$' && line != "$-1") {
        const std::size_t size = std::stoul(line.substr(1));
        if (bytes.size() < used + size + 2) return;
        line = bytes.substr(used, size);
        used += size + 2;
      }
      bytes.erase(0, used);
      patience.Stop();
      if (!greeted) {
        if (line.starts_with("+HI")) {
          Write(hello_line);
        } else if (line == "+OK") {
          greeted = true;
          if (ready) ready();
        } else {
          return Break();
        }
      } else if (const auto then = std::exchange(reply, nullptr)) {
        then(line);
      }
    }
  }
  void Write(const std::string& line) {
    patience.Start(kPatience);
    stream->Write(line + "\r\n");
  }
  // `then` is given the reply, or nothing where there is none.
  void Say(const std::string& line, std::function<void(std::string)> then) {
    reply = std::move(then);
    Write(line);
  }
  bool idle() const { return greeted && !reply && stream && stream->open(); }

  net::StreamContext& shared;
  net::Address at;
  std::string hello_line, bytes;
  net::Timer again, patience;
  std::shared_ptr<net::Stream> stream;
  bool greeted = false;
  std::function<void(std::string)> reply;
  std::function<void()> ready;
};

// Goes to one scheduler alone, and comes again by the same jid until it is told +OK.
struct Jobs::Client {
  Client(Jobs& owner, int index, const net::Address& at, double per_s)
      : jobs(owner),
        prefix(std::string(1, static_cast<char>('a' + index)) + "-"),
        link(owner.shared_, at, "HELLO {\"v\":2}"),
        next(owner.shared_.loop,
             [this, gap = static_cast<Micros>(1e6 / per_s)] {
               if (jobs.stopped_) return;
               if (open.size() < kMostOpen) New();
               next.Start(gap);
             }),
        again(owner.shared_.loop, [this] { Push(); }) {
    link.ready = [this] { Push(); };
    next.Start(1);
  }
  void New() {
    const std::string jid = prefix + std::to_string(100'000 + ++made);
    jobs.jobs_[jid].job_class = made % 3;
    open.push_back(jid);
    Push();
  }
  void Push() {
    if (open.empty() || !link.idle()) return;
    const std::string jid = open.front();
    const int c = jobs.jobs_[jid].job_class;
    jobs.jobs_[jid].pushes.append("asked at " + std::to_string(jobs.MsSoFar()));
    link.Say("PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"" + kClasses[c] + "\",\"args\":[1],\"retry\":3" +
                 (c == 1 ? ",\"custom\":{\"key\":\"" + std::to_string(made) + "\"}" : "") + "}",
             [this, jid](const std::string& line) {
               if (line != "+OK") return again.Start(kAgain);
               jobs.jobs_[jid].acknowledged = true;
               jobs.jobs_[jid].pushes.append("told +OK at " + std::to_string(jobs.MsSoFar()));
               std::erase(open, jid);
               Push();
             });
  }
  Jobs& jobs;
  std::string prefix;
  int made = 0;
  std::deque<std::string> open;
  Link link;
  net::Timer next, again;
};

// One worker of a wid, connected to all schedulers. What it has done it says where it had the job from until
// that says +OK, and where that is gone to all the others.
struct Jobs::Worker {
  struct Door {
    Door(Worker& owner, const net::Address& at, const std::string& wid)
        : worker(owner),
          name(wid + " at " + net::ToText(at)),
          link(owner.jobs.shared_, at, "HELLO {\"v\":2,\"wid\":\"" + wid + "\"}"),
          runs(owner.jobs.shared_.loop, [this] { Done(); }),
          pause(owner.jobs.shared_.loop, [this] { Next(); }) {
      link.ready = [this] { Next(); };
    }
    void Next() {
      if (!link.idle()) return;
      if (!say.empty()) {
        const Delivery d = say.front();
        return link.Say("ACK {\"jid\":\"" + d.jid + "\"}", [this, d](const std::string& line) {
          if (line.empty()) return worker.Elsewhere(*this, d);
          if (line != "+OK") return pause.Start(kAgain);
          std::erase(say, d);
          worker.jobs.Taken(d, name);
          Next();
        });
      }
      if (!running.jid.empty()) return;
      link.Say("FETCH default", [this](const std::string& line) {
        const auto at = line.find("\"jid\":\"");
        if (line.empty() || at == line.npos) return Next();
        running = {line.substr(at + 7, line.find('"', at + 7) - at - 7), worker.jobs.shared_.loop.Now()};
        worker.jobs.Came(running, name);
        runs.Start(kRuns);
      });
    }
    void Done() {
      say.push_back(std::exchange(running, {}));
      if (link.idle()) return Next();
      worker.Elsewhere(*this, say.back());
    }
    Worker& worker;
    std::string name;
    Delivery running;
    std::deque<Delivery> say;
    Link link;
    net::Timer runs, pause;
  };
  Worker(Jobs& owner, int index, const std::vector<net::Address>& at) : jobs(owner) {
    for (const net::Address& a : at)
      doors.push_back(std::make_unique<Door>(*this, a, "w" + std::to_string(index)));
  }
  void Elsewhere(Door& not_here, const Delivery& d) {
    for (const auto& door : doors) {
      if (door.get() == &not_here || std::count(door->say.begin(), door->say.end(), d) > 0) continue;
      door->say.push_back(d);
      door->Next();
    }
  }
  Jobs& jobs;
  std::vector<std::unique_ptr<Door>> doors;
};

Jobs::Jobs(net::StreamContext& shared, const std::vector<net::Address>& at, double per_s) : shared_(shared) {
  for (std::size_t i = 0; i < at.size(); ++i) {
    clients_.push_back(std::make_unique<Client>(*this, static_cast<int>(i), at[i], per_s));
    workers_.push_back(std::make_unique<Worker>(*this, static_cast<int>(i), at));
  }
}
Jobs::~Jobs() = default;

void Jobs::Stop() { stopped_ = true; }

void Jobs::Came(const Delivery& d, const std::string& where) {
  Job& job = jobs_[d.jid];
  const Micros now = d.came;
  if (job.came++ == 0) job.first = now;
  job.story.append("came to " + where + " at " + std::to_string((now - job.first) / 1000) + " ms");
  if (job.came == 1) return;
  if (job.story.size() > 2) {  // there is more to it than that it came twice
    Json::Value odd;
    odd["jid"] = d.jid;
    odd["class"] = job.job_class;
    odd["story"] = job.story;
    odd["pushes"] = job.pushes;
    odd["came_at"] = Json::Int64(MsSoFar());
    odd_.append(odd);
  }
  if (job.done) ++broken_["a job came again after its ACK was taken in time"];
  if (job.job_class == 2) ++broken_["an unsafe job came twice"];
  if (job.job_class == 1 && now - job.first >= kKeyWindow)
    ++broken_["a keyed job came again outside its window"];
}

// Of the delivery that it is for: a worker says the ACK of one that is long over to whoever is there, which
// answers +OK as well, maybe in the moment in which the job comes to another.
void Jobs::Taken(const Delivery& d, const std::string& where) {
  Job& job = jobs_[d.jid];
  const Micros now = shared_.loop.Now();
  job.done = job.done || now - d.came < kLeastLease;
  job.story.append("ACK of " + std::to_string((d.came - job.first) / 1000) + " ms taken from " + where +
                   " at " + std::to_string((now - job.first) / 1000) + " ms");
}

bool Jobs::Over() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& p) {
    return !p.second.acknowledged || p.second.came > 0 || p.second.job_class != 0;
  });
}

Json::Value Jobs::Summary() const {
  Json::Value out;
  int acknowledged = 0, came = 0, again = 0, never = 0, lost = 0;
  for (const auto& [jid, job] : jobs_) {
    acknowledged += job.acknowledged ? 1 : 0;
    came += job.came > 0 ? 1 : 0;
    again += std::max(0, job.came - 1);
    if (!job.acknowledged || job.came > 0) continue;
    // What was leased to a worker that it never reached may have run, for all that anybody knows.
    ++(job.job_class == 0 ? lost : never);
    if (job.job_class == 0) out["lost"].append(jid);
  }
  out["jobs"] = Json::UInt64(jobs_.size());
  out["acknowledged"] = acknowledged;
  out["came"] = came;
  out["again"] = again;
  out["never_came"] = never;
  if (!odd_.empty()) out["after_ack"] = odd_;
  for (const auto& [rule, count] : broken_) out["broken"][rule] = count;
  if (lost > 0) out["broken"]["an acknowledged safe job was lost"] = lost;
  return out;
}

}  // namespace heronway::faults
