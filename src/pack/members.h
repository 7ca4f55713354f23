// Reads a MessagePack array's members in their order. What does not fit throws msgpack's own type error, as
// the library's conversions do; what stands behind the last one read is left for later versions.
#ifndef HERONWAY_PACK_MEMBERS_H_
#define HERONWAY_PACK_MEMBERS_H_

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <cstdint>
#include <msgpack.hpp>

namespace heronway::pack {

using Packer = msgpack::packer<msgpack::sbuffer>;

class Members {
 public:
  // `least`: members that it must have.
  Members(const msgpack::object& o, std::uint32_t least) {
    Need(o.type == msgpack::type::ARRAY && o.via.array.size >= least);
    at_ = o.via.array.ptr;
    end_ = at_ + o.via.array.size;
  }
  const msgpack::object& Next() {
    Need(at_ != end_);
    return *at_++;
  }
  template <typename T>
  T Number(T least, T most) {
    const T value = Next().as<T>();
    Need(value >= least && value <= most);
    return value;
  }
  template <typename T>
  T Enum(T last) {
    return static_cast<T>(Number<int>(0, static_cast<int>(last)));
  }
  static void Need(bool holds) {
    if (!holds) throw msgpack::type_error();
  }

 private:
  const msgpack::object* at_ = nullptr;
  const msgpack::object* end_ = nullptr;
};

}  // namespace heronway::pack

#endif  // HERONWAY_PACK_MEMBERS_H_
