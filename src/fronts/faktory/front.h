// The Faktory front: clients PUSH, workers FETCH, and the same reducer and module decide in between.
//
// A worker (a `wid`, over one or more connections) is an egress target. A FETCH that waits is a free slot; a
// hop goes out by answering one. A PUSH is answered when its job has its final outcome, as nothing is stored;
// with durable jobs, when the job is stored (durable.cpp).
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
#include "src/fronts/faktory/protocol.h"
#include "src/match/service.h"
#include "src/net/driver.h"
#include "src/net/listener.h"

namespace heronway::faktory {

class Front {
 public:
  Front(net::StreamContext& shared, const config::Config& config, const config::Options& options,
        const config::FaktoryConfig& faktory, match::Service* rules, std::function<void()> drained);
  ~Front();
  void Drain() { driver_.Post(core::DrainStarted{}); }
  bool Answering() const;  // a reply has not left whole
  void FleetSeen(const core::FleetView& seen) { driver_.Post(core::FleetView(seen)); }
  // Where word of a job that is not held here goes, where copies are kept.
  using LeadWord = std::function<void(const core::HopCallback&, cluster::copies::ReportForwarder::Done)>;
  void LeadWords(LeadWord lead) { lead_word_ = std::move(lead); }
  // Asks the other schedulers for a job that is not known here; told once, within `patience` microseconds.
  using LookUpJob = std::function<void(const std::string& jid, Micros patience,
                                       std::function<void(cluster::copies::LookupResult)> told)>;
  void LookUpJobs(LookUpJob look_up) { look_up_job_ = std::move(look_up); }
  std::size_t unused_connections() const {
    const auto most = static_cast<std::size_t>(faktory_.most_connections);
    return most - std::min(most, connections_.size());
  }
  net::Driver& driver() { return driver_; }  // for jobs that come from another scheduler, and go there
  void RulesChanged();                       // they name other groups of targets: each target is told anew
  void PrintCounters() const;
  const core::Reducer& reducer() const { return driver_.reducer(); }
  net::Address address() const { return listener_.address(); }

  static constexpr Micros kFetchWait = 2'000'000;  // a FETCH is answered with nothing after this long
  static constexpr Micros kHopWait = 1'000'000;    // a hop waits this long for its target to FETCH
  static constexpr Micros kHelloTime = 2'500'000;  // from connecting
  static constexpr Micros kSilence = 60'000'000;   // a connection that says nothing for so long is closed
  static constexpr Micros kReadTime = 15'000'000;
  static constexpr Micros kLinger = 2'000'000;    // for a peer to end, once it was told that it must
  static constexpr std::size_t kMostKept = 1024;  // answers kept for clients that may come back for them

 private:
  struct Connection;
  struct Worker;
  struct Hop;
  struct Job;

  void Accepted(int fd, const net::Address& from);
  bool MakeRoom(bool must);
  void Gone(Connection& c);
  void Remove(Connection& c, net::Reason reason);

  void Serve(Connection& c, std::string_view line);
  void Hello(Connection& c, std::string_view rest);
  void Push(Connection& c, std::string_view rest);
  match::Service::Judgement Judge(const Connection& c, const faktory::Job& spec, std::size_t bytes);
  match::Request AsRequest(const faktory::Job& spec, std::size_t bytes) const;
  void PushDurable(Connection& c, faktory::Job& spec, std::string_view rest,
                   const match::Service::Judgement& judged);
  void TakeDurable(Connection& c, core::JobSubmitted submitted);
  bool CanTake(Connection& c);
  void AckDurable(Connection& c, core::HopCallback news);
  void ReplyWhenStored(Connection& c, std::string line, int store_id);
  bool durable() const { return reducer().job_manager() != nullptr; }
  core::TargetId TargetOf(const std::string& wid);
  void Fetch(Connection& c, std::string_view rest);
  void Ack(Connection& c, const Command& command);
  void Beat(Connection& c, std::string_view rest);
  std::string Info() const;

  void Execute(core::Effect& effect);
  void Do(core::SendHop& e);
  void Do(core::CancelHop& e);
  void Do(core::Answer& e);
  void Do(core::StartRound& e);
  void EndRound(Job& job) { Forget(job); }
  void Forget(Job& job);
  void InfoOfStore(Json::Value& faktory) const;
  void Reply(Job& job, const std::string& line);
  void Deliver(Worker& worker);
  void DeliverAll();
  void TakeBack(Worker& worker, core::Result result);
  void TellRoute(const Worker& worker, pebblenotch::WorkerState state);
  pebblenotch::Report LoadOf(const Worker& worker);
  void TellLoad(Worker& worker);
  void ForgetOldAnswers();

  net::StreamContext& shared_;
  const config::Config& config_;
  config::FaktoryConfig faktory_;
  match::Service* rules_;
  std::function<void()> drained_;
  net::Driver driver_;
  LeadWord lead_word_;     // null where no copies are kept
  LookUpJob look_up_job_;  // the same
  net::Listener listener_;

  std::list<std::shared_ptr<Connection>> connections_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;  // by wid
  std::unordered_map<core::TargetId, Worker*> targets_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;  // by jid, until answered
  std::unordered_map<core::Ticket, Job*> tickets_;
  struct Kept {
    std::string line;
    Micros until;
  };
  std::unordered_map<std::string, Kept> kept_;  // answers whose client had gone, by jid
  std::size_t held_bytes_ = 0, incoming_bytes_ = 0, most_bytes_;
  core::Ticket last_ticket_ = 0;
  core::TargetId last_target_ = 0;
  std::uint64_t joined_ = 0, turned_away_ = 0, malformed_ = 0, late_acks_ = 0;
};

}  // namespace heronway::faktory

#endif  // HERONWAY_FRONTS_FAKTORY_FRONT_H_
