#include "faults/fault_settings.h"

#include "base/errors.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace oriole::standins {

using nlohmann::json;

fault_settings read_fault_settings(const std::string& text) {
    fault_settings settings;
    try {
        const json body = json::parse(text);
        settings.delay = std::chrono::milliseconds(body.value("delay_ms", std::int64_t{0}));
        settings.jitter = std::chrono::milliseconds(body.value("jitter_ms", std::int64_t{0}));
        settings.drop_to_target = body.value("drop_to_target", false);
        settings.drop_to_client = body.value("drop_to_client", false);
        settings.cut = body.value("cut", false);
        settings.seed = body.value("seed", std::uint64_t{1});
        const auto truncate = body.find("truncate_after_bytes");
        if (truncate != body.end() && !truncate->is_null()) {
            settings.truncate_after_bytes = truncate->get<std::uint64_t>();
        }
    } catch (const json::exception& failure) {
        throw invalid_input(failure.what());
    }
    if (settings.delay.count() < 0 || settings.jitter.count() < 0) {
        throw invalid_input("delay_ms and jitter_ms must not be negative: got " +
                            std::to_string(settings.delay.count()) + " and " +
                            std::to_string(settings.jitter.count()));
    }
    return settings;
}

std::string write_fault_settings(const fault_settings& settings) {
    const auto& truncate = settings.truncate_after_bytes;
    return json{{"delay_ms", settings.delay.count()},
                {"jitter_ms", settings.jitter.count()},
                {"drop_to_target", settings.drop_to_target},
                {"drop_to_client", settings.drop_to_client},
                {"cut", settings.cut},
                {"truncate_after_bytes", truncate ? json(*truncate) : json(nullptr)},
                {"seed", settings.seed}}
        .dump();
}

} // namespace oriole::standins
