#include "base/clock.h"
#include "base/errors.h"
#include "base/random_source.h"
#include "ctl/environment.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iterator>
#include <thread>

namespace oriole::ctl {
namespace {

class system_environment final : public environment {
public:
    [[nodiscard]] std::string read_file(const std::string& path) override {
        std::ifstream file(path, std::ios::binary);
        std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        if (!file.is_open() || file.bad()) {
            throw error("the file cannot be read: " + std::string(std::strerror(errno)) +
                        "; check its path and permissions");
        }
        return text;
    }

    [[nodiscard]] const clock& monotonic_clock() const override { return steady_clock(); }

    [[nodiscard]] random_source& random() override { return *m_random; }

    [[nodiscard]] std::string utc_time() const override {
        const std::time_t now = std::time(nullptr);
        std::tm parts{};
        gmtime_r(&now, &parts);
        std::array<char, 32> text{};
        const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
        return {text.data(), size};
    }

    [[nodiscard]] http_client& http() override { return *m_http; }

    void sleep_for(std::chrono::milliseconds duration) override {
        std::this_thread::sleep_for(duration);
    }

private:
    std::unique_ptr<random_source> m_random = make_random_source();
    std::unique_ptr<http_client> m_http = make_beast_http_client();
};

} // namespace

std::unique_ptr<environment> make_system_environment() {
    return std::make_unique<system_environment>();
}

} // namespace oriole::ctl
