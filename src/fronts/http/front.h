// The front for the platform's protocol: client requests, call-backs and /ready on one address; hops as HTTP
// requests to the egress targets. It translates, and decides nothing.
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

// The front's part of the configured limits, beside the parts of the program that are on. Throws
// std::runtime_error that names limits.sockets where too few descriptors are left.
Budget ComputeBudget(const config::Config& config, const config::Options& options, bool faktory);

class Front {
 public:
  // `faktory`: the second front is on, and has a part of the descriptors. `rules`: asked of each request;
  // null: there are none.
  Front(net::StreamContext& shared, const config::Config& config, const config::Options& options,
        bool faktory, match::Service* rules, std::function<void()> drained);
  ~Front();
  void Drain();
  // An operator's drain (`on`) or its end: no to /ready, idle clients closed, all else served as before.
  void SetCordoned(bool on);
  bool Ready() const;  // what /ready says
  std::size_t CountListedTargets() const { return routes_.CountListed(); }
  std::size_t CountUnselectableTargets()
      const;  // listed as ready, and the module would draw none of them for any class
  void SetDiscoveryAddress(const net::Address& at);  // its list replaces the present one once it is there
  void RulesChanged();
  void LogStatistics() const;
  const core::Reducer& reducer() const { return driver_.reducer(); }
  core::Invariants invariants() const;  // of the reducer and of the connections
  // The process is about to exit.
  void CheckBeforeExit() { checks_.Check(core::Invariant::kAnsweredBeforeExit, reducer().pending() == 0); }
  bool HasUnsentAnswers() const;  // an answer has not left whole
  std::size_t connection_count() const {
    return connection_count_;
  }  // of clients, and of targets that call back
  net::Address address() const { return listener_.address(); }
  void UpdateFleetView(const core::FleetView& seen) { driver_.Post(core::FleetView(seen)); }
  // Where word of a job that is not held here goes, where copies are kept.
  using ForwardReport = std::function<void(const core::HopCallback&, cluster::copies::ReportForwarder::Done)>;
  void SetReportForwarder(ForwardReport lead) { forward_report_ = std::move(lead); }
  // How many descriptors that other parts of the program may have they do not use now; egress may have some.
  void SetUnusedDescriptors(std::function<std::size_t()> unused) { unused_descriptors_ = std::move(unused); }
  // Asks the other schedulers for a job by its client's key; told once, within `patience` microseconds.
  using JobLookup = std::function<void(const std::string& alias, Micros patience,
                                       std::function<void(cluster::copies::LookupResult)> told)>;
  void SetJobLookup(JobLookup look_up) { job_lookup_ = std::move(look_up); }
  net::Driver& driver() { return driver_; }  // for jobs that come from another scheduler, and go there
  // The fleet's news of targets: what this front sees is told to `tell`, and others' word is looked into.
  void SetObservationSink(std::function<void(const cluster::TargetObservation&)> tell) {
    observation_sink_ = std::move(tell);
  }
  void ApplyAdvice(const cluster::TargetAdvice& hint);

  // Bounds on what a poor link, or a bad client, may hold.
  static constexpr Micros kFirstRequestTime = 2'500'000;  // from connecting, for a first request to be whole
  static constexpr Micros kRequestTime = 10'000'000;      // for a later one
  static constexpr Micros kReadTime = 15'000'000;         // for an answer to be read
  static constexpr Micros kLinger = 2'000'000;            // for a peer to end, once it was told that it must,
  static constexpr std::size_t kMostSpilled =
      1024 * 1024;  // and what of its message is passed over meanwhile
  static constexpr Micros kIdleTime = 60'000'000;
  static constexpr Micros kTurnedAwayTime = 5'000'000;  // idle, and never served
  static constexpr Micros kTellTimeout = 300'000;       // for a target to hear that a hop is called off
  static constexpr Micros kTakeLimit = 1'000'000;       // for a target to answer that it has a hop
  static constexpr Micros kProbeTimeout = 300'000;

 private:
  struct Ingress;
  struct Pending {  // a request that has no answer yet
    Ingress* from;  // null: a durable job's, and no client waits for this round of it
    std::string id;
    Message message;
  };
  struct Joined {  // a client that waits for a durable job which another request brought
    Ingress* from;
    std::string id;  // the job's
    std::unique_ptr<net::Timer> patience;
  };

  void Accepted(int fd, const net::Address& from);
  bool MakeRoom(bool must);
  void NoteFull();  // no further connection is accepted
  void NoteRoom();  // one is, again
  void CloseIdle();
  void EndComing();
  void LogStop(const char* state) const;
  // Where an ingress connection stands. Each stage has a list, the longest there in front, so that the cost
  // of a connection does not grow with their number.
  enum class Stage : std::uint8_t {
    kFresh,       // has never sent a whole request
    kTurnedAway,  // idle, and was never served
    kKept,        // idle after having been served
    kComing,      // sending a further request
    kBusy         // in service, or being answered
  };
  static constexpr std::size_t kStages = 5;
  using Places = std::list<std::shared_ptr<Ingress>>;
  Places& At(Stage stage) { return ingress_[static_cast<std::size_t>(stage)]; }
  void Settle(Ingress& in);
  void Serve(Ingress& in, Message message, std::string_view behind);
  void TakeRequest(Ingress& in, Message message);
  void LookUp(Ingress& in, Message message, core::RequestArrived arrived, const std::string& alias);
  void AnswerFromElsewhere(Ingress& in, const cluster::copies::LookupResult& result);
  void Admit(Ingress& in, Message message, core::RequestArrived arrived, const std::string& alias);
  static match::Request AsRequest(const Message& message);
  static void ReadExtra(const Message& message, pebblenotch::Request& request);
  match::Service::Judgement Judge(const Ingress& in, const Message& message);
  void TakeNews(Ingress& in, const Message& message);
  bool durable() const { return reducer().job_manager() != nullptr; }
  void Join(Ingress& in, const Message& message, const std::string& job, int job_class);
  static durable::JobSpec TaskOf(const Message& message, const pebblenotch::Request& request,
                                 std::string alias);
  static std::string AliasOf(const std::string& class_name, const std::string& key);
  bool IsDurable(const Pending& pending) const;
  void Leave(std::map<core::Ticket, Joined>::iterator it);
  void ComeAgain(std::map<core::Ticket, Joined>::iterator it);  // to be told that its job is under way
  void AnswerWhenStored(Ingress& in, int store_id);
  void LeadNews(Ingress& in, const core::HopCallback& news);
  bool MayWait(Ingress& in);
  // Of connections, those in service or being answered: jobs without a client hold none.
  std::size_t InService() { return At(Stage::kBusy).size(); }
  bool MayHold() {  // one request more
    return pending_.size() + joined_.size() < budget_.requests && InService() < budget_.in_service;
  }
  bool AnswerFromStore(Ingress& in, const std::string& job);
  void Gone(Ingress& in);
  void Remove(Ingress& in, net::Reason reason);

  void Execute(core::Effect& effect);
  void Do(core::SendHop& e);
  void Do(core::CancelHop& e);
  void Do(core::HopCompleted& e);
  void Do(core::Answer& e);
  void Do(core::StartProbe& e);
  void Do(core::StartRound& e);
  void Do(core::Settled& e);
  bool MayLeave(core::Ticket ticket, core::TargetId target) const;
  std::string HopText(const Pending& pending, const net::Address& to, Micros until) const;
  void HopReplied(core::Ticket ticket, int hop, core::TargetId target, const CallResult& result);
  void Dialled(core::TargetId target, bool came_up);
  void PublishObservations(const core::RoutesChanged& change);
  void PublishObservations(core::TargetId target, core::Result result);
  void PublishObservations(core::TargetId target, const std::optional<pebblenotch::Report>& report);
  std::optional<pebblenotch::Report> ReadLoad(std::string_view text) const;
  std::optional<pebblenotch::Report> ToReport(const std::map<std::string, double>& values) const;

  net::StreamContext& shared_;
  const config::Config& config_;
  match::Service* rules_;
  std::function<void()> drained_;
  std::function<void(const cluster::TargetObservation&)> observation_sink_;  // null where the cluster is off
  Budget budget_;
  discovery::RouteTable routes_;
  discovery::RestartDetector restarts_;
  Egress egress_;
  net::Driver driver_;
  std::function<std::size_t()> unused_descriptors_;  // null: nothing is lent
  ForwardReport forward_report_;                     // null where no copies are kept
  JobLookup job_lookup_;                             // the same
  std::size_t looking_up_ = 0;                       // clients whose jobs are looked for elsewhere
  discovery::Watch watch_;
  net::Listener listener_;
  net::Timer close_idle_;  // while draining

  std::array<Places, kStages> ingress_;
  std::size_t connection_count_ = 0;
  bool closing_ = false;            // draining, and clients are told to go elsewhere
  std::size_t incoming_bytes_ = 0;  // of messages that are not whole yet, and of what waits behind one
  std::unordered_map<core::Ticket, Pending> pending_;
  std::size_t pending_bytes_ = 0;
  std::map<core::Ticket, Joined> joined_;
  std::multimap<std::string, core::Ticket> joined_by_job_;
  std::map<std::pair<core::Ticket, int>, Egress::CallId> calls_;  // hops that no target has taken yet
  core::Ticket last_ticket_ = 0;
  std::uint64_t taken_ = 0;  // hops, by their targets' 202
  core::Invariants checks_;
  bool refusing_ = false;    // a planned stop has come so far, and it was logged
  Micros full_since_ = -1;   // connections wait unaccepted; -1: they don't
  Micros longest_full_ = 0;  // that they have waited at a time
  std::uint64_t news_ = 0, joins_ = 0, turned_away_ = 0, malformed_ = 0, made_room_ = 0;
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_FRONT_H_
