// The front for the Faktory work protocol: clients PUSH jobs, workers FETCH them, and the reducer and the
// decision module assign jobs to workers as for the HTTP front.
//
// A worker (identified by `wid`, with one or more connections) is an egress target. A waiting FETCH is a
// free slot; a hop is delivered as the reply to a FETCH. Without durable jobs a PUSH is answered with the
// job's final outcome; with them, when the job is stored (durable.cpp).
#ifndef HERONWAY_FRONTS_FAKTORY_FRONT_H_
#define HERONWAY_FRONTS_FAKTORY_FRONT_H_

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/cluster/copies/job_lookup.h"
#include "src/cluster/copies/report_forwarder.h"
#include "src/config/config.h"
#include "src/config/options.h"
#include "src/fronts/faktory/kept_replies.h"
#include "src/fronts/faktory/protocol.h"
#include "src/match/service.h"
#include "src/net/driver.h"
#include "src/net/listener.h"

namespace heronway::faktory {

class Front {
 public:
  // `rules`: applied to each PUSH; may be null. `drained`: called once a graceful shutdown is complete.
  // Throws std::runtime_error where the address cannot be bound or the store cannot be opened.
  Front(net::StreamContext& context, const config::Config& config, const config::Options& options,
        const config::FaktoryConfig& faktory, match::Service* rules, std::function<void()> drained);
  ~Front();
  // Starts the graceful shutdown.
  void Drain() { driver_.Post(core::DrainStarted{}); }
  bool HasUnsentAnswers() const;  // replies that wait for the store or are not sent completely
  void UpdateFleetView(const core::FleetView& seen) { driver_.Post(core::FleetView(seen)); }
  // Forwards a worker's report on a job that is not known here to the scheduler that serves it. Only set
  // where jobs are replicated.
  using ForwardReport = std::function<void(const core::HopCallback&, cluster::copies::ReportForwarder::Done)>;
  void SetReportForwarder(ForwardReport forward) { forward_report_ = std::move(forward); }
  // Asks the other schedulers for a job that is not known here. `done` is called once, within `timeout`
  // microseconds. Only set where jobs are replicated.
  using JobLookup = std::function<void(const std::string& jid, Micros timeout,
                                       std::function<void(cluster::copies::LookupResult)> done)>;
  void SetJobLookup(JobLookup look_up) { job_lookup_ = std::move(look_up); }
  // The number of connections below the configured maximum.
  std::size_t unused_connections() const {
    const auto limit = static_cast<std::size_t>(faktory_.max_connections);
    return limit - std::min(limit, connections_.size());
  }
  net::Driver& driver() { return driver_; }  // for jobs that move between schedulers
  // Publishes all targets again, as changed rules may put them into other groups.
  void RulesChanged();
  void LogStatistics() const;
  const core::Reducer& reducer() const { return driver_.reducer(); }
  net::Address address() const { return listener_.address(); }

  // All times in microseconds.
  static constexpr Micros kFetchTimeout = 2'000'000;        // until a FETCH gets an empty reply
  static constexpr Micros kHopDeliveryTimeout = 1'000'000;  // for a hop's target to send a FETCH
  static constexpr Micros kHelloTimeout = 2'500'000;        // from connecting until HELLO is complete
  static constexpr Micros kIdleTimeout = 60'000'000;        // until a silent connection is closed
  static constexpr Micros kReplyReadTimeout = 15'000'000;   // for a peer to read a reply
  static constexpr Micros kCloseTimeout = 2'000'000;        // for a peer to close after the last reply

 private:
  struct Connection;
  struct Worker;
  struct Hop;
  struct Job;

  void OnAccept(int fd, const net::Address& from);
  bool ReserveDescriptor(bool required);
  void OnDisconnected(Connection& c);
  void Remove(Connection& c, net::Reason reason);

  void ProcessCommand(Connection& c, std::string_view line);
  void Hello(Connection& c, std::string_view arguments);
  void Push(Connection& c, std::string_view arguments);
  match::Service::Decision EvaluateRules(const Connection& c, const PushedJob& spec, std::size_t bytes);
  match::Request ToRuleRequest(const PushedJob& spec, std::size_t bytes) const;
  void PushDurable(Connection& c, PushedJob& spec, std::string_view arguments,
                   const match::Service::Decision& decision);
  void SubmitDurable(Connection& c, core::JobSubmitted submitted);
  bool CheckCanStore(Connection& c);
  void AckDurable(Connection& c, core::HopCallback report);
  void ReplyWhenStored(Connection& c, std::string line, int store_id);
  bool durable() const { return reducer().job_manager() != nullptr; }
  core::TargetId TargetIdFor(const std::string& wid);
  void Fetch(Connection& c, std::string_view arguments);
  void Ack(Connection& c, const Command& command);
  void Beat(Connection& c, std::string_view arguments);
  std::string Info() const;

  void Execute(core::Effect& effect);
  void Do(core::SendHop& e);
  void Do(core::CancelHop& e);
  void Do(core::Answer& e);
  void Do(core::StartRound& e);
  void FinishRound(Job& job) { RemoveJob(job); }
  void RemoveJob(Job& job);
  void AddStoreInfo(Json::Value& faktory) const;
  // `kept`: the reply is kept for a client that is disconnected and may push the job again.
  void Reply(Job& job, const std::string& line, bool kept);
  void Deliver(Worker& worker);
  void DeliverToAll();
  void ReturnUndelivered(Worker& worker, core::Result result);
  void PublishRoute(const Worker& worker, pebblenotch::WorkerState state);
  pebblenotch::Report LoadReport(const Worker& worker);
  void PublishLoad(Worker& worker);

  net::StreamContext& context_;
  const config::Config& config_;
  config::FaktoryConfig faktory_;
  match::Service* rules_;
  std::function<void()> drained_;
  net::Driver driver_;
  ForwardReport forward_report_;  // null where jobs are not replicated
  JobLookup job_lookup_;          // null where jobs are not replicated
  net::Listener listener_;

  std::list<std::shared_ptr<Connection>> connections_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;  // by wid
  std::unordered_map<core::TargetId, Worker*> targets_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;  // by jid, until answered
  std::unordered_map<core::Ticket, Job*> tickets_;
  KeptReplies kept_replies_;
  std::size_t job_bytes_ = 0, buffered_bytes_ = 0, max_bytes_;
  core::Ticket last_ticket_ = 0;
  core::TargetId last_target_ = 0;
  std::uint64_t joined_ = 0, shed_ = 0, malformed_ = 0, late_acks_ = 0;
};

}  // namespace heronway::faktory

#endif  // HERONWAY_FRONTS_FAKTORY_FRONT_H_
