// From a client's message to the reducer's event: what the rules say of it, whether it can be taken, and as
// what.
#include <algorithm>

#include "src/fronts/http/header_values.h"
#include "src/fronts/http/ingress.h"
#include "src/fronts/log_reports.h"
#include "src/log/log.h"

namespace heronway::http {
namespace {

// What passes on to a target, which reads no more than this of a head, and closes on what it cannot read.
constexpr std::size_t kMostPassedOn = 4 * 1024;
constexpr const char* kOnce[] = {"Req-Id",  "Req-Deadline-Ms", "Idempotency-Key",
                                 "Req-Key", "Req-Extra",       "Req-Retry"};

bool FitForPath(const std::string& id) {
  return !id.empty() && id.size() <= 128 && std::all_of(id.begin(), id.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~';
  });
}

// Why a request must not go on to a target: what is doubled, unreadable or too long there. Null where it may.
const char* Unfit(const Message& m) {
  const auto plain = [](const std::string& text, unsigned char least) {
    return std::all_of(text.begin(), text.end(), [least](unsigned char c) { return c >= least && c < 0x7f; });
  };
  for (const char* name : kOnce) {
    if (m.Count(name) > 1) return "a header is there twice";
  }
  std::size_t size = m.target.size();
  if (!plain(m.target, 0x21)) return "the path cannot be read";
  for (const char* name : kForwardedHeaders) {
    const auto* value = m.Find(name);
    if (value == nullptr) continue;
    if (!plain(*value, 0x20)) return "a header cannot be read";
    size += value->size();
  }
  const auto* key = m.Find("Idempotency-Key");
  if (key != nullptr && key->empty()) return "Idempotency-Key is empty";
  return size > kMostPassedOn ? "path and headers are too long" : nullptr;
}

}  // namespace

match::Request Front::AsRequest(const Message& message) {
  match::Request r;
  const std::string_view target = message.target;
  const auto mark = std::min(target.find('?'), target.size());
  r.front = "http";
  r.path = target.substr(0, mark);
  r.query = target.substr(std::min(mark + 1, target.size()));
  r.headers = message.headers;
  r.body_bytes = static_cast<std::int64_t>(message.body.size());
  if (const auto* text = message.Find("Req-Deadline-Ms"))
    r.deadline = std::clamp<std::int64_t>(ParseNumber<std::int64_t>(*text).value_or(0), 0, 1LL << 40) * 1000;
  const auto* retry = message.Find("Req-Retry");
  r.repeat = retry != nullptr && *retry == "1";
  return r;
}

// What the rules say; without any, nothing.
match::Service::Judgement Front::Judge(const Ingress& in, const Message& message) {
  if (rules_ == nullptr) return {};
  match::Request r = AsRequest(message);
  r.peer = match::Mapped(&in.peer.sin_addr);
  const auto judgement = rules_->Judge(shared_.loop.Now(), r);
  if (judgement.marked_by != nullptr)
    log::Event(log::Level::kInfo, "marked",
               {{"front", "http", true}, {"rule", *judgement.marked_by}, {"path", r.path}});
  return judgement;
}

// What a client says that its request needs of a worker.
void Front::ReadExtra(const Message& message, pebblenotch::Request& request) {
  const auto* extra = message.Find("Req-Extra");
  if (extra == nullptr) return;
  const auto values = ParsePairs(*extra);
  if (const auto it = values.find("slots"); it != values.end()) request.slots = it->second;
  if (const auto it = values.find("memory"); it != values.end()) request.memory = it->second;
}

void Front::TakeRequest(Ingress& in, Message message) {
  const auto refuse = [&](unsigned status, const char* why) {
    ++malformed_;
    in.Answer(status, {}, std::string(why) + "\n");
  };
  const auto judged = Judge(in, message);
  if (judged.refuse != nullptr) return refuse(403, judged.refuse->c_str());
  if (judged.rate != nullptr) {
    ++turned_away_;
    return in.Answer(429, {{"Retry-After", FormatSeconds(judged.wait)}},
                     "over the rate " + *judged.rate + "\n");
  }
  const auto first = message.target.substr(0, message.target.find_first_of("?/", 1));
  const auto job_class =
      judged.job_class >= 0 ? config_.classes.begin() + judged.job_class
                            : std::find_if(config_.classes.begin(), config_.classes.end(),
                                           [&first](const std::string& name) { return first == "/" + name; });
  if (job_class == config_.classes.end()) return refuse(404, "no such class");
  if (message.method != "POST") return refuse(405, "a job comes by POST");
  if (const char* why = Unfit(message)) return refuse(400, why);
  const std::string* id = message.Find("Req-Id");
  if (id == nullptr || !FitForPath(*id)) return refuse(400, "Req-Id is missing or malformed");
  const auto* idempotency = message.Find("Idempotency-Key");
  const std::string alias =
      durable() && idempotency != nullptr ? AliasOf(*job_class, *idempotency) : std::string();
  if (const auto* job = alias.empty() ? nullptr : reducer().job_manager()->table().FindByAlias(alias);
      job != nullptr)
    return Join(in, message, std::string(*job), static_cast<int>(job_class - config_.classes.begin()));
  // Ids are new with every request. Guards a request whose hop may still be out, or whose answer was just
  // given, against another that comes by its name.
  if (driver_.reducer().IsKnown(*id) || (durable() && reducer().job_manager()->table().Find(*id) != nullptr))
    return refuse(409, "Req-Id is in use");
  core::RequestArrived arrived;
  pebblenotch::Request& r = arrived.request;
  r.job_class = static_cast<int>(job_class - config_.classes.begin());
  const auto& settings = config_.module.settings.classes[static_cast<std::size_t>(r.job_class)];
  // Without a key a repeat would have its effect twice.
  if (settings.idempotency == pebblenotch::Idempotency::kDeduplicated &&
      message.Find("Idempotency-Key") == nullptr)
    return refuse(400, "Idempotency-Key is missing");
  // The class says how long its clients wait at most. Guards what is made of that against a client that
  // claims to wait for ever.
  Micros patience = settings.deadline;
  if (const auto* text = message.Find("Req-Deadline-Ms")) {
    const auto ms = ParseNumber<std::int64_t>(*text);
    if (!ms || *ms <= 0) return refuse(400, "Req-Deadline-Ms is not a whole number above 0");
    patience = std::min(*ms, patience / 1000) * 1000;
  }
  // Its client counts from when it sent it, which may be some time before it was read here.
  r.deadline = in.came + patience;
  if (const auto* text = message.Find("Req-Key")) {
    const auto key = ParseNumber<std::uint64_t>(*text, 16);
    if (!key) return refuse(400, "Req-Key is not a hexadecimal number");
    r.key = *key;
  }
  if (judged.key) r.key = *judged.key;
  if (judged.repeats) arrived.max_hops = *judged.repeats + 1;
  r.priority = judged.priority;
  r.required_groups = judged.only;
  arrived.tenant = judged.tenant.value_or("");
  if (const auto* retry = message.Find("Req-Retry")) r.client_retry = *retry == "1";
  ReadExtra(message, r);
  arrived.id = *id;
  if (!alias.empty() && job_lookup_) return LookUp(in, std::move(message), std::move(arrived), alias);
  Admit(in, std::move(message), std::move(arrived), alias);
}

// Holds the request, or has it refused where it cannot be held.
void Front::Admit(Ingress& in, Message message, core::RequestArrived arrived, const std::string& alias) {
  pebblenotch::Request& r = arrived.request;
  const std::size_t size = message.size();
  // Guards memory and descriptors: what cannot be held is refused at once, before anything was done about it.
  if (driver_.reducer().pending() >= static_cast<std::size_t>(config_.most_held) ||
      pending_bytes_ + size > budget_.held_bytes || !MayHold() ||
      (!alias.empty() && driver_.StoreUnavailable())) {
    ++turned_away_;
    if (driver_.reducer().limits() == nullptr)
      return in.Answer(503, {{"Retry-After", "1"}}, "too many requests held\n");
    arrived.no_capacity = true;
  }
  r.id = in.ticket = ++last_ticket_;
  // Requests have a new id each time: the key is what tells a repeat, where there is one.
  if (const auto* key = message.Find("Idempotency-Key")) {
    arrived.client = *key;
  } else if (const auto* object = message.Find("Req-Key")) {
    arrived.client = *object;
    arrived.client_names_job = false;
  }
  if (!alias.empty() && !arrived.no_capacity) arrived.task = TaskOf(message, r, alias);
  if (arrived.no_capacity) message = {};  // nothing of it is held
  pending_bytes_ += message.size();
  pending_.emplace(r.id, Pending{&in, arrived.id, std::move(message)});
  driver_.Post(std::move(arrived));
}

}  // namespace heronway::http
