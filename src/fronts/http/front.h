// The HTTP front: serves client requests, callbacks of targets and /ready on one address, and sends hops as
// HTTP requests to the egress targets. It translates between HTTP and the reducer's events and effects;
// decisions are made by the reducer.
#ifndef HERONWAY_FRONTS_HTTP_FRONT_H_
#define HERONWAY_FRONTS_HTTP_FRONT_H_

#include <array>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "src/cluster/copies/job_lookup.h"
#include "src/cluster/copies/report_forwarder.h"
#include "src/cluster/membership/membership.h"
#include "src/config/config.h"
#include "src/config/options.h"
#include "src/discovery/restart_detector.h"
#include "src/discovery/watch.h"
#include "src/fronts/http/budget.h"
#include "src/fronts/http/egress.h"
#include "src/match/service.h"
#include "src/net/driver.h"
#include "src/net/listener.h"

namespace heronway::http {

// Computes the front's share of the configured limits, given the enabled parts of the program. Throws
// std::runtime_error naming limits.sockets if too few descriptors remain.
Budget ComputeBudget(const config::Config& config, const config::Options& options, bool faktory);

// The HTTP front with its listener, connection pool, discovery watch and reducer.
class Front {
 public:
  // `faktory`: the Faktory front is enabled and has its share of the descriptors. `rules`: evaluated for each
  // request; null if there are none. `drained`: called when a graceful shutdown has completed.
  Front(net::StreamContext& context, const config::Config& config, const config::Options& options,
        bool faktory, match::Service* rules, std::function<void()> drained);
  ~Front();
  void Drain();  // starts a graceful shutdown; further calls have no effect
  // Starts (`on`) or ends a drain by an operator: /ready answers 503 and idle connections are closed;
  // everything else is served as before.
  void SetCordoned(bool on);
  bool Ready() const;  // the state reported by /ready
  std::size_t CountListedTargets() const { return routes_.CountListed(); }
  // Ready targets that the module would not select for any class.
  std::size_t CountUnselectableTargets() const;
  void SetDiscoveryAddress(const net::Address& at);  // takes effect once the new service has sent its list
  void RulesChanged();                               // the match rules have been reloaded
  void LogStatistics() const;                        // logs all counters
  const core::Reducer& reducer() const { return driver_.reducer(); }
  core::Invariants invariants() const;  // violations counted by the reducer and by the connections
  // Checks, right before the process exits, that no request is unanswered.
  void CheckBeforeExit() { checks_.Check(core::Invariant::kAnsweredBeforeExit, reducer().pending() == 0); }
  bool HasUnsentAnswers() const;  // a response is not sent completely, or a job lookup is in progress
  // Open connections from clients and from targets that send callbacks.
  std::size_t connection_count() const { return connection_count_; }
  net::Address address() const { return listener_.address(); }
  void UpdateFleetView(const core::FleetView& view) { driver_.Post(core::FleetView(view)); }
  // Forwards a callback for a job that is not held here; set where jobs are replicated.
  using ForwardReport = std::function<void(const core::HopCallback&, cluster::copies::ReportForwarder::Done)>;
  void SetReportForwarder(ForwardReport forward) { forward_report_ = std::move(forward); }
  // `unused`: returns the number of descriptors reserved for other parts of the program and currently unused;
  // egress may borrow some of them.
  void SetUnusedDescriptors(std::function<std::size_t()> unused) { unused_descriptors_ = std::move(unused); }
  // Looks up a job by its alias on the other schedulers. `done` is called once, within `timeout`
  // microseconds.
  using JobLookup = std::function<void(const std::string& alias, Micros timeout,
                                       std::function<void(cluster::copies::LookupResult)> done)>;
  void SetJobLookup(JobLookup look_up) { job_lookup_ = std::move(look_up); }
  net::Driver& driver() { return driver_; }  // for jobs taken over from or handed to another scheduler
  // `sink` receives this front's observations of targets, to be shared with the other schedulers.
  void SetObservationSink(std::function<void(const cluster::TargetObservation&)> sink) {
    observation_sink_ = std::move(sink);
  }
  void ApplyAdvice(const cluster::TargetAdvice& advice);  // observations of other schedulers

  // Time and memory limits for slow or misbehaving peers; times in microseconds.
  static constexpr Micros kFirstRequestTime = 2'500'000;  // from connecting until a first request is complete
  static constexpr Micros kRequestTime = 10'000'000;      // until a later request is complete
  static constexpr Micros kResponseReadTime = 15'000'000;  // for the peer to read a response
  static constexpr Micros kLingerTime = 2'000'000;         // for the peer to close after the final response
  static constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;  // bytes of input discarded in that time
  static constexpr Micros kIdleTime = 60'000'000;                 // idle time after a successful response
  static constexpr Micros kUnservedIdleTime = 5'000'000;  // idle time before a first successful response
  static constexpr Micros kCancelTimeout = 300'000;       // for a target to answer the cancellation of a hop
  static constexpr Micros kHopAcceptTimeout = 1'000'000;  // for a target to accept a hop
  static constexpr Micros kProbeTimeout = 300'000;        // for a target to answer a probe

 private:
  struct Ingress;
  struct Pending {    // a request without a response
    Ingress* client;  // null: a round of a durable job for which no client waits
    std::string id;
    Message message;
  };
  struct Joined {  // a client that waits for a durable job submitted by another request
    Ingress* client;
    std::string id;  // of the job
    std::unique_ptr<net::Timer> timer;
  };

  void OnAccepted(int fd, const net::Address& from);
  bool FreeDescriptor(bool must);
  void OnIngressFull();       // accepting connections is suspended
  void OnIngressAvailable();  // accepting connections resumes
  void CloseIdle();           // while draining
  void RejectIncomplete();    // at the end of a graceful shutdown
  void LogStopState(const char* state) const;
  // State of an ingress connection. Each stage has a list ordered by the time of entry, oldest first, so that
  // the cost per connection does not grow with their number.
  enum class Stage : std::uint8_t {
    kNew,        // has not sent a complete request yet
    kUnserved,   // idle and never served
    kKeptAlive,  // idle after being served
    kReceiving,  // receiving a further request
    kBusy        // in service, or a response is being sent
  };
  static constexpr std::size_t kStages = 5;
  using ConnectionList = std::list<std::shared_ptr<Ingress>>;
  ConnectionList& InStage(Stage stage) { return ingress_[static_cast<std::size_t>(stage)]; }
  void UpdateStage(Ingress& ingress);
  void Dispatch(Ingress& ingress, Message message, std::string_view following);
  void HandleRequest(Ingress& ingress, Message message);
  void LookUpElsewhere(Ingress& ingress, Message message, core::RequestArrived arrived,
                       const std::string& alias);
  void RespondFromLookup(Ingress& ingress, const cluster::copies::LookupResult& result);
  void Admit(Ingress& ingress, Message message, core::RequestArrived arrived, const std::string& alias);
  static match::Request ToRuleRequest(const Message& message);
  static void ParseResources(const Message& message, pebblenotch::Request& request);
  match::Service::Decision EvaluateRules(const Ingress& ingress, const Message& message);
  void HandleCallback(Ingress& ingress, const Message& message);
  bool durable() const { return reducer().job_manager() != nullptr; }
  void Join(Ingress& ingress, const Message& message, const std::string& job, int job_class);
  static durable::JobSpec ToJobSpec(const Message& message, const pebblenotch::Request& request,
                                    std::string alias);
  static std::string JobAlias(const std::string& class_name, const std::string& key);
  bool IsDurable(const Pending& pending) const;
  void RemoveJoined(std::map<core::Ticket, Joined>::iterator it);
  void AskToRetry(std::map<core::Ticket, Joined>::iterator it);  // answers that the job is in progress
  void RespondWhenStored(Ingress& ingress, int store_id);
  void ForwardCallback(Ingress& ingress, const core::HopCallback& callback);
  bool BeginService(Ingress& ingress);
  // Connections in service or with a response being sent. Jobs without a client have no connection.
  std::size_t InService() { return InStage(Stage::kBusy).size(); }
  bool CanHoldRequest() {  // whether one more request fits the budget
    return pending_.size() + joined_.size() < budget_.requests && InService() < budget_.in_service;
  }
  bool RespondFromStore(Ingress& ingress, const std::string& job);
  void OnDisconnected(Ingress& ingress);
  void Remove(Ingress& ingress, net::Reason reason);

  void Execute(core::Effect& effect);
  void Perform(core::SendHop& e);
  void Perform(core::CancelHop& e);
  void Perform(core::HopCompleted& e);
  void Perform(core::Answer& e);
  void Perform(core::StartProbe& e);
  void Perform(core::StartRound& e);
  void Perform(core::Settled& e);
  bool MaySend(core::Ticket ticket, core::TargetId target) const;
  std::string FormatHop(const Pending& pending, const net::Address& to, Micros until) const;
  void OnHopResult(core::Ticket ticket, int hop, core::TargetId target, const CallResult& result);
  void OnDialEnded(core::TargetId target, bool came_up);
  void PublishObservations(const core::RoutesChanged& change);
  void PublishObservations(core::TargetId target, core::Result result);
  void PublishObservations(core::TargetId target, const std::optional<pebblenotch::Report>& report);
  std::optional<pebblenotch::Report> ParseLoad(std::string_view text) const;
  std::optional<pebblenotch::Report> ToReport(const std::map<std::string, double>& values) const;

  net::StreamContext& context_;
  const config::Config& config_;
  match::Service* rules_;
  std::function<void()> drained_;
  std::function<void(const cluster::TargetObservation&)> observation_sink_;  // null without a cluster
  Budget budget_;
  discovery::RouteTable routes_;
  discovery::RestartDetector restarts_;
  Egress egress_;
  net::Driver driver_;
  std::function<std::size_t()> unused_descriptors_;  // null: egress borrows none
  ForwardReport forward_report_;                     // null without replication
  JobLookup job_lookup_;                             // null without replication
  std::size_t open_lookups_ = 0;                     // lookups on other schedulers in progress
  discovery::Watch watch_;
  net::Listener listener_;
  net::Timer close_idle_;  // while draining

  std::array<ConnectionList, kStages> ingress_;
  std::size_t connection_count_ = 0;
  bool closing_idle_ = false;       // draining: idle connections are being closed
  std::size_t incoming_bytes_ = 0;  // incomplete messages and pipelined input
  std::unordered_map<core::Ticket, Pending> pending_;
  std::size_t pending_bytes_ = 0;
  std::map<core::Ticket, Joined> joined_;
  std::multimap<std::string, core::Ticket> joined_by_job_;
  std::map<std::pair<core::Ticket, int>, Egress::CallId> open_calls_;  // hops not yet accepted by a target
  core::Ticket last_ticket_ = 0;
  std::uint64_t accepted_hops_ = 0;  // hops accepted by their targets with 202
  core::Invariants checks_;
  bool rejecting_ = false;        // the shutdown rejects all requests, and that was logged
  Micros full_since_ = -1;        // since when accepting is suspended; -1: it is not
  Micros longest_full_time_ = 0;  // longest time for which accepting was suspended
  std::uint64_t callbacks_ = 0, join_count_ = 0, not_admitted_ = 0, malformed_ = 0, evicted_ = 0;
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_FRONT_H_
