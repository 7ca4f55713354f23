// Jobs that this scheduler does not know, and another may have from a life of it before.
#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"
#include "src/log/log.h"

namespace heronway::cluster::copies {
namespace {

constexpr Micros kLookUpAgain = 50'000;  // a link that has just failed loses what is sent

// Whether the members that are left when its owner's disk is lost can lead it: else only an operator can.
bool MayBeLedWithoutOwner(const log::Configuration& members, const Servers& servers,
                          const std::string& owner) {
  const auto others = std::count_if(members.voters.begin(), members.voters.end(), [&](log::ServerId id) {
    const auto who = servers.find(id);
    return who != servers.end() && who->second.first != owner;
  });
  return static_cast<std::size_t>(others) > members.voters.size() / 2;
}

}  // namespace

void Copies::LookUp(const std::string& front, JobName name, Micros patience,
                    std::function<void(Verdict)> told) {
  WaitingLookup lookup{front, std::move(name), shared_.loop.Now() + patience, std::move(told)};
  if (TryLookUp(lookup)) return;
  if (waiting_lookups_.size() >= Questions<JobAnswer>::kMostOpen) return lookup.told({Found::kNotNow, {}});
  waiting_lookups_.push_back(std::move(lookup));
  if (!look_up_again_.running()) look_up_again_.Start(kLookUpAgain);
}

// False: members that may have the job cannot be asked yet.
bool Copies::TryLookUp(WaitingLookup& lookup) {
  const auto own = own_.find(lookup.front);
  const bool nobody_has_more = own == own_.end() || own->second.nobody_has_more;
  const EarlierLives::Plan plan = nobody_has_more ? EarlierLives::Plan{} : WhomToAsk(own->second.earlier);
  if (plan.wait || lookups_.full()) return false;
  if (plan.ask.empty()) {
    lookup.told({Found::kUnknown, {}});
    return true;
  }
  ++looked_up_;
  Ask(lookup.front, lookup.name, plan.ask, lookup.until - shared_.loop.Now(),
      [this, front = lookup.front, told = std::move(lookup.told)](Questions<JobAnswer>::Outcome outcome) {
        const EarlierLives& earlier = own_.at(front).earlier;
        const bool silence_counts =
            std::any_of(outcome.silent.begin(), outcome.silent.end(),
                        [&earlier](const std::string& member) { return earlier.silence_counts(member); });
        Verdict verdict = Judge(outcome, silence_counts);
        found_elsewhere_ += verdict.found >= Found::kOpen ? 1 : 0;
        told(std::move(verdict));
      });
  return true;
}

EarlierLives::Plan Copies::WhomToAsk(const EarlierLives& earlier) {
  std::vector<Candidate> keep_copies;
  bool nobody_heard = settings_.expects_others;
  for (const Seen& member : members_ ? members_() : std::vector<Seen>{}) {
    nobody_heard &= member.name == settings_.name;
    if (member.gone_since >= 0 || !member.at.empty()) keep_copies.push_back(member);
    if (!member.at.empty()) links_.Place(member.name, member.at);
  }
  return earlier.WhomToAsk(shared_.loop.Now(), keep_copies, nobody_heard);
}

void Copies::LookUpAgain() {
  const Micros now = shared_.loop.Now();
  for (WaitingLookup& lookup : std::exchange(waiting_lookups_, {})) {
    if (lookup.until <= now) {
      lookup.told({Found::kNotNow, {}});
    } else if (!TryLookUp(lookup)) {
      waiting_lookups_.push_back(std::move(lookup));
    }
  }
  for (auto it = asked_frames_.begin(); it != asked_frames_.end();) {
    const std::set<std::string>* silent = lookups_.Silent(it->first);
    for (const std::string& member : silent != nullptr ? *silent : std::set<std::string>{})
      links_.Send(member, it->second);
    it = silent != nullptr ? std::next(it) : asked_frames_.erase(it);
  }
  if (!waiting_lookups_.empty() || !asked_frames_.empty()) look_up_again_.Start(kLookUpAgain);
}

// Says to whoever may have copies of a life before that there is another now, and hears whether it does.
void Copies::AskForCopies() {
  for (auto& [front, own] : own_) {
    const EarlierLives::Plan plan = WhomToAsk(own.earlier);
    own.nobody_has_more = plan.ask.empty() && !plan.wait;
    if (plan.ask.empty() || lookups_.full()) continue;
    Ask(front, {}, plan.ask, Doors::kPatience, [this, &own](const Questions<JobAnswer>::Outcome& outcome) {
      for (const std::string& member : outcome.silent) {
        if (links_.Up(member)) own.earlier.NoteSilent(member);
      }
    });
  }
}

void Copies::Ask(const std::string& front, const JobName& name, const std::vector<std::string>& members,
                 Micros patience, Questions<JobAnswer>::Told told) {
  Frame question;
  question.kind = Frame::Kind::kWord;
  question.at = kLookup;
  question.group = front;
  question.message = Encode(JobQuestion{own_.at(front).group, name});
  question.server = lookups_.Ask(members, patience, std::move(told));
  for (const std::string& member : members) links_.Send(member, question);
  asked_frames_.emplace(question.server, std::move(question));
  if (!look_up_again_.running()) look_up_again_.Start(kLookUpAgain);
}

void Copies::GotQuestion(const std::string& from, const Frame& f) {
  const auto question = DecodeJobQuestion(f.message);
  if (!question || OwnerOf(question->own_group) != from || FrontOf(question->own_group) != f.group) {
    ++links_.malformed;
    return;
  }
  JobAnswer answer;
  for (const auto& [name, group] : groups_) {
    Group& g = *group;
    if (g.mine || OwnerOf(name) != from || FrontOf(name) != f.group) continue;
    if (name == question->own_group) {  // also where it was another's a moment ago: its disk is back
      g.former_since = -1;
      continue;
    }
    if (g.former_since < 0) {
      g.former_since = shared_.loop.Now();
      heronway::log::Event(heronway::log::Level::kInfo, "copies",
                           {{"group", name}, {"state", "its owner has lost it"}});
    }
    if (!MayBeLedWithoutOwner(g.log->configuration(), g.servers, from)) continue;
    answer.copies.push_back(name);
    if (g.held && !g.reading) answer.held.push_back(name);
  }
  const auto reply = [this, from, number = f.server, front = f.group,
                      answer = std::move(answer)](Verdict verdict) mutable {
    answer.found = verdict.found;
    answer.result = std::move(verdict.result);
    Frame out;
    out.kind = Frame::Kind::kHeard;
    out.at = kLookup;
    out.group = front;
    out.server = number;
    out.message = Encode(answer);
    links_.Send(from, out);
  };
  if (question->name.text.empty() || !host_.find) return std::function<void(Verdict)>(reply)({});
  host_.find(f.group, question->name, reply);
}

void Copies::GotAnswer(const std::string& from, const Frame& f) {
  auto answer = DecodeJobAnswer(f.message);
  const auto own = own_.find(f.group);
  if (!answer || own == own_.end()) {
    ++links_.malformed;
    return;
  }
  own->second.earlier.Note(from, !answer->copies.empty());
  lookups_.Answered(f.server, from, std::move(*answer));
}

}  // namespace heronway::cluster::copies
