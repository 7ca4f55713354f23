// Any door: what a worker says to a member that does not hold its job is led to the others.
#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"

namespace heronway::cluster::copies {

void ReplicaManager::ForwardReport(const std::string& front, const core::HopCallback& news,
                                   ReportForwarder::Done told) {
  std::vector<std::string> others;
  // Guards against word that is thrown away while whoever holds its job is out of sight, and may be back.
  bool lately_gone = false;
  for (const KnownMember& m : member_source_ ? member_source_() : std::vector<KnownMember>{}) {
    lately_gone |= m.gone_since >= 0 && shared_.loop.Now() - m.gone_since < kDiscoveryTime;
    if (m.name != settings_.name && !m.address.empty() && m.gone_since < 0 &&
        others.size() < Links::kMaxOutbound)
      others.push_back(m.name);
  }
  if (news.result.size() > ReportForwarder::kMaxResultBytes) return told(ForwardOutcome::kUnknownJob);
  Frame f;
  f.kind = Frame::Kind::kRequest;
  f.group = front;
  f.message = EncodeReport(news);
  f.server = report_forwarder_.Start(others, [told = std::move(told), lately_gone](ForwardOutcome outcome) {
    told(outcome == ForwardOutcome::kUnknownJob && lately_gone ? ForwardOutcome::kRetry : outcome);
  });
  if (f.server == 0) return;
  ++reports_forwarded_;
  for (const std::string& to : others) links_.Send(to, f);
}

// Answered from here alone: what is not held here is led nowhere else.
void ReplicaManager::OnReport(const std::string& from, const Frame& f) {
  auto news = DecodeReport(f.message);
  if (!news) {
    ++links_.frames_malformed;
    return;
  }
  const auto answer = [this, from, number = f.server](const char* what) {
    Frame outcome;
    outcome.kind = Frame::Kind::kReply;
    outcome.server = number;
    outcome.detail = what;
    links_.Send(from, outcome);
  };
  const auto told = [this, answer](bool stored) {
    reports_stored_ += stored ? 1 : 0;
    answer(stored ? "taken" : "again");
  };
  if (front_hooks_.report && front_hooks_.report(f.group, std::move(*news), told)) return;
  // A group that nobody leads now, or that is led here and not held yet, may have it.
  const bool limbo = std::any_of(groups_.begin(), groups_.end(), [&f](const auto& p) {
    const Group& g = *p.second;
    const bool led = g.log->role() == log::Role::kLeader;
    return FrontOf(p.first) == f.group && (g.log->leader() == 0 || (led && (!g.channel || g.loading)));
  });
  answer(limbo ? "again" : "nobody");
}

}  // namespace heronway::cluster::copies
