// Part of ReplicaManager: sends a worker's report of a job that is not served here to the other members.
#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"

namespace heronway::cluster::copies {

void ReplicaManager::ForwardReport(const std::string& front, const core::HopCallback& report,
                                   ReportForwarder::Done done) {
  std::vector<std::string> others;
  // A recently gone member may serve the job and come back, so the report must not be dropped until then.
  bool recently_gone = false;
  for (const KnownMember& m : member_source_ ? member_source_() : std::vector<KnownMember>{}) {
    recently_gone |= m.gone_since >= 0 && shared_.loop.Now() - m.gone_since < kDiscoveryTime;
    if (m.name != settings_.name && !m.address.empty() && m.gone_since < 0 &&
        others.size() < Links::kMaxOutbound)
      others.push_back(m.name);
  }
  if (report.result.size() > ReportForwarder::kMaxResultBytes) return done(ForwardOutcome::kUnknownJob);
  Frame f;
  f.kind = Frame::Kind::kRequest;
  f.group = front;
  f.message = EncodeReport(report);
  f.server =
      report_forwarder_.StartQuery(others, [done = std::move(done), recently_gone](ForwardOutcome outcome) {
        done(outcome == ForwardOutcome::kUnknownJob && recently_gone ? ForwardOutcome::kRetry : outcome);
      });
  if (f.server == 0) return;
  ++reports_forwarded_;
  for (const std::string& to : others) links_.Send(to, f);
}

// Answers from this member's own state only: a forwarded report is not forwarded again.
void ReplicaManager::OnReport(const std::string& from, const Frame& f) {
  auto report = DecodeReport(f.message);
  if (!report) {
    ++links_.frames_malformed;
    return;
  }
  const auto send_reply = [this, from, number = f.server](const char* outcome) {
    Frame reply;
    reply.kind = Frame::Kind::kReply;
    reply.server = number;
    reply.detail = outcome;
    links_.Send(from, reply);
  };
  const auto done = [this, send_reply](bool stored) {
    reports_stored_ += stored ? 1 : 0;
    send_reply(stored ? kReportStored : kReportRetry);
  };
  if (front_hooks_.report && front_hooks_.report(f.group, std::move(*report), done)) return;
  // A group without a leader, or one that is led here and not served yet, may have the job.
  const bool may_have_job = std::any_of(groups_.begin(), groups_.end(), [&f](const auto& p) {
    const Group& g = *p.second;
    const bool led = g.log->role() == log::Role::kLeader;
    return FrontOf(p.first) == f.group && (g.log->leader() == 0 || (led && (!g.channel || g.loading)));
  });
  send_reply(may_have_job ? kReportRetry : kReportUnknownJob);
}

}  // namespace heronway::cluster::copies
