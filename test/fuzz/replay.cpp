// Runs the fuzz target on the stored inputs in a directory, so that CI can check them without
// libFuzzer.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

// libFuzzer prescribes this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, // NOLINT
                                      std::size_t size);

int main(int argc, char **argv)
{
    int replayed = 0;
    for (const auto &entry : std::filesystem::directory_iterator(argc > 1 ? argv[1] : ".")) {
        std::ifstream file(entry.path(), std::ios::binary);
        const std::vector<char> bytes(std::istreambuf_iterator<char>(file), {});
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
        ++replayed;
    }
    std::printf("%d inputs replayed\n", replayed);
    return replayed == 0 ? 1 : 0;
}
