// Runs a fuzz target on each file of the given corpus folders, as a regular test.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  int files = 0;
  for (int i = 1; i < argc; ++i) {
    for (const auto& entry : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream in(entry.path(), std::ios::binary);
      const std::string bytes((std::istreambuf_iterator<char>(in)), {});
      std::fprintf(stderr, "%s\n",
                   entry.path().filename().c_str());  // on a crash, the last name printed is the failing file
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
      ++files;
    }
  }
  std::printf("%d files replayed\n", files);
  return files > 0 ? 0 : 1;
}
