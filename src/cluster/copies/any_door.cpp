// Any door: what a worker says to a member that does not hold its job is led to the others.
#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"

namespace heronway::cluster::copies {

void Copies::Lead(const std::string& front, const core::HopCallback& news, Doors::Told told) {
  std::vector<std::string> others;
  // Guards against word that is thrown away while whoever holds its job is out of sight, and may be back.
  bool lately_gone = false;
  for (const Seen& m : members_ ? members_() : std::vector<Seen>{}) {
    lately_gone |= m.gone_since >= 0 && shared_.loop.Now() - m.gone_since < kRemembers;
    if (m.name != settings_.name && !m.at.empty() && m.gone_since < 0 && others.size() < Links::kMostOut)
      others.push_back(m.name);
  }
  if (news.result.size() > Doors::kMostResult) return told(Heard::kNobody);
  Frame f;
  f.kind = Frame::Kind::kWord;
  f.group = front;
  f.message = EncodeWord(news);
  f.server = doors_.Ask(others, [told = std::move(told), lately_gone](Heard heard) {
    told(heard == Heard::kNobody && lately_gone ? Heard::kNotNow : heard);
  });
  if (f.server == 0) return;
  ++led_words_;
  for (const std::string& to : others) links_.Send(to, f);
}

// Answered from here alone: what is not held here is led nowhere else.
void Copies::GotWord(const std::string& from, const Frame& f) {
  auto news = DecodeWord(f.message);
  if (!news) {
    ++links_.malformed;
    return;
  }
  const auto answer = [this, from, number = f.server](const char* what) {
    Frame heard;
    heard.kind = Frame::Kind::kHeard;
    heard.server = number;
    heard.at = what;
    links_.Send(from, heard);
  };
  const auto told = [this, answer](bool stored) {
    taken_words_ += stored ? 1 : 0;
    answer(stored ? "taken" : "again");
  };
  if (host_.word && host_.word(f.group, std::move(*news), told)) return;
  // A group that nobody leads now, or that is led here and not held yet, may have it.
  const bool limbo = std::any_of(groups_.begin(), groups_.end(), [&f](const auto& p) {
    const Group& g = *p.second;
    const bool led = g.log->role() == log::Role::kLeader;
    return FrontOf(p.first) == f.group && (g.log->leader() == 0 || (led && (!g.held || g.reading)));
  });
  answer(limbo ? "again" : "nobody");
}

}  // namespace heronway::cluster::copies
