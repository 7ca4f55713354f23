// Questions to several members at once: whom an answer is waited for, and until when. Bounded in number and
// time. Pure but for the loop's timer: what is sent, and what the answers mean, is its caller's.
#ifndef HERONWAY_CLUSTER_COPIES_QUESTIONS_H_
#define HERONWAY_CLUSTER_COPIES_QUESTIONS_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/net/loop.h"

namespace heronway::cluster::copies {

template <typename Answer>
class Questions {
 public:
  static constexpr std::size_t kMostOpen = 256;
  // What came until the question ended.
  struct Outcome {
    std::vector<std::pair<std::string, Answer>> answers;  // by member, in the order in which they came
    std::set<std::string> silent;                         // were asked and have not answered
  };
  using Told = std::function<void(Outcome)>;

  // `decides`: an answer that ends its question, whatever the others would say.
  Questions(net::Loop& loop, std::function<bool(const Answer&)> decides)
      : loop_(loop), look_(loop, [this] { Look(); }), decides_(std::move(decides)) {}

  bool full() const { return open_.size() >= kMostOpen; }
  std::size_t open() const { return open_.size(); }

  // Who has not answered yet; null where the question is over.
  const std::set<std::string>* Silent(std::uint64_t number) const {
    const auto it = open_.find(number);
    return it == open_.end() ? nullptr : &it->second.outcome.silent;
  }

  // The number under which `members`, of which there is one at least, are to be asked. `told` is called once:
  // when all have answered, one has decided it, or `patience` microseconds are over.
  std::uint64_t Ask(const std::vector<std::string>& members, net::Micros patience, Told told) {
    Question& question = open_[++last_];
    question.told = std::move(told);
    question.outcome.silent.insert(members.begin(), members.end());
    question.until = loop_.Now() + patience;
    Watch();
    return last_;
  }
  void Answered(std::uint64_t number, const std::string& by, Answer answer) {
    const auto it = open_.find(number);
    if (it == open_.end() || it->second.outcome.silent.erase(by) == 0) return;
    const bool decided = decides_(answer);
    it->second.outcome.answers.emplace_back(by, std::move(answer));
    if (decided || it->second.outcome.silent.empty()) End(it);
  }

 private:
  struct Question {
    Told told;
    Outcome outcome;
    net::Micros until = 0;
  };
  using Open = std::map<std::uint64_t, Question>;

  void End(typename Open::iterator it) {
    Question over = std::move(it->second);
    open_.erase(it);
    over.told(std::move(over.outcome));
  }
  void Look() {
    for (;;) {
      const auto due = std::find_if(open_.begin(), open_.end(),
                                    [now = loop_.Now()](const auto& q) { return q.second.until <= now; });
      if (due == open_.end()) break;
      End(due);
    }
    Watch();
  }
  void Watch() {
    const auto first = std::min_element(open_.begin(), open_.end(), [](const auto& a, const auto& b) {
      return a.second.until < b.second.until;
    });
    if (first == open_.end()) return;
    if (look_.running() && look_at_ <= first->second.until) return;
    look_at_ = first->second.until;
    look_.Start(std::max<net::Micros>(1, look_at_ - loop_.Now()));
  }

  net::Loop& loop_;
  net::Timer look_;
  net::Micros look_at_ = 0;
  std::function<bool(const Answer&)> decides_;
  std::uint64_t last_ = 0;
  Open open_;  // by number
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_QUESTIONS_H_
