// Plays a committed corpus through a fuzzer's function, as a normal test: each file of the folders named.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  int played = 0;
  for (int i = 1; i < argc; ++i) {
    for (const auto& entry : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream in(entry.path(), std::ios::binary);
      const std::string bytes((std::istreambuf_iterator<char>(in)), {});
      std::fprintf(stderr, "%s\n",
                   entry.path().filename().c_str());  // the last one named is the one that failed
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
      ++played;
    }
  }
  std::printf("%d files played\n", played);
  return played > 0 ? 0 : 1;
}
