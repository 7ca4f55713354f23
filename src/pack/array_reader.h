// Reads the elements of a MessagePack array in order. Input of the wrong type, length or range throws
// msgpack::type_error, as the library's own conversions do. Elements after the last one that is read are
// ignored, so that later versions can append fields.
#ifndef HERONWAY_PACK_ARRAY_READER_H_
#define HERONWAY_PACK_ARRAY_READER_H_

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <cstdint>
#include <msgpack.hpp>

namespace heronway::pack {

using Packer = msgpack::packer<msgpack::sbuffer>;

class ArrayReader {
 public:
  // `min_size`: the number of elements that the array must have at least. `o` must outlive the reader.
  ArrayReader(const msgpack::object& o, std::uint32_t min_size) {
    Require(o.type == msgpack::type::ARRAY && o.via.array.size >= min_size);
    at_ = o.via.array.ptr;
    end_ = at_ + o.via.array.size;
  }
  // Returns the next element; throws at the end of the array.
  const msgpack::object& Next() {
    Require(at_ != end_);
    return *at_++;
  }
  // Reads an integer from `min` to `max`, both included.
  template <typename T>
  T Number(T min, T max) {
    const T value = Next().as<T>();
    Require(value >= min && value <= max);
    return value;
  }
  // Reads the number of an enumerator; the enumerators count from 0 to `last`.
  template <typename T>
  T Enum(T last) {
    return static_cast<T>(Number<int>(0, static_cast<int>(last)));
  }
  // Throws msgpack::type_error unless `holds`.
  static void Require(bool holds) {
    if (!holds) throw msgpack::type_error();
  }

 private:
  const msgpack::object* at_ = nullptr;
  const msgpack::object* end_ = nullptr;
};

}  // namespace heronway::pack

#endif  // HERONWAY_PACK_ARRAY_READER_H_
