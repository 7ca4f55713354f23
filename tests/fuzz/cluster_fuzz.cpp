// Fuzzes the membership codec and core. Arbitrary bytes are decoded or rejected; a decoded message
// round-trips, and a member that receives it as a datagram and in an exchange keeps its own name and stays
// alive, its boot id does not decrease, and its datagrams stay within the size limit.
#include <cstdlib>

#include "src/cluster/membership/membership.h"
#include "src/cluster/net/codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronway::cluster;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto read = Decode("f", bytes, 4096);
  const Message* m = std::get_if<Message>(&read);
  if (m == nullptr) return 0;
  const std::string once = Encode("f", *m);
  const auto again = Decode("f", once, 1 << 20);
  if (!std::holds_alternative<Message>(again) || Encode("f", std::get<Message>(again)) != once) std::abort();
  MemberRecord self;
  self.id = {"a", 10};
  self.endpoint = {0x7f000001, 7946};
  Membership core({}, self, 1, 0);
  std::vector<Effect> effects;
  core.Handle(1, Tick{}, effects);
  core.Handle(2, Received{*m}, effects);
  core.Handle(3, ExchangeReceived{1ULL << 63, *m}, effects);
  for (Micros now = 100'000; now < 4'000'000; now += 100'000) core.Handle(now, Tick{}, effects);
  if (core.self().id.name != "a" || core.self().state != MemberState::kAlive || core.self().id.boot_id < 10)
    std::abort();
  for (const Effect& e : effects) {
    const auto* send = std::get_if<SendDatagram>(&e);
    if (send != nullptr && Encode("f", send->message).size() > Membership::kMaxDatagramBytes) std::abort();
  }
  return 0;
}
