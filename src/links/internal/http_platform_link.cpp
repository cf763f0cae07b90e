#include "links/platform_link.h"

#include "base/clock.h"
#include "base/url_encoding.h"
#include "links/backend_codec.h"
#include "links/internal/instance_json.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;
using boost::system::error_code;
using nlohmann::json;
using std::chrono::milliseconds;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// The platform answers within milliseconds; a call without an answer after this time is lost.
constexpr milliseconds call_timeout{2000};

/// Attempts of a conditional update. After each attempt that did not succeed, the object is read
/// back to see whether the update took effect.
constexpr int max_put_attempts = 5;
constexpr milliseconds first_retry_delay{20};

/// No attempt starts later than this after the first, so that a platform that never answers does
/// not block the caller for the sum of all timeouts.
constexpr std::chrono::seconds put_retry_window{5};

/// An answer, or the reason why there is none.
struct exchange_result {
    std::optional<http_response> answer;
    std::string failure;
};

struct read_object {
    stored_object object;
    std::string operation;
};

/// State of an object that was read after an update whose result is unclear. `answered` is false
/// when the read failed as well; `object` is empty when the object does not exist.
struct read_back {
    bool answered = false;
    std::optional<read_object> object;
};

std::uint64_t read_version(const http_response& answer) {
    const std::string text(answer["Oriole-Version"]);
    std::uint64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc() || version == 0) {
        throw platform_unreachable("the platform's answer has no valid Oriole-Version header");
    }
    return version;
}

std::vector<object_change> read_changes(const json& list) {
    std::vector<object_change> changes;
    for (const auto& entry : list) {
        changes.push_back(
            {entry.at("path").get<std::string>(), entry.at("version").get<std::uint64_t>()});
    }
    return changes;
}

/// Runs `read` on the JSON body of the answer. Throws platform_unreachable when the body cannot be
/// decoded.
template <class Read>
auto read_body(const http_response& answer, const Read& read) {
    try {
        return read(json::parse(answer.body()));
    } catch (const json::exception& failure) {
        throw platform_unreachable(std::string("invalid answer from the platform: ") +
                                   failure.what());
    } catch (const decode_error& failure) {
        throw platform_unreachable(std::string("invalid answer from the platform: ") +
                                   failure.what());
    }
}

awaitable<void> sleep_for(milliseconds duration) {
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(use_awaitable);
}

class http_platform_link final : public platform_link {
public:
    explicit http_platform_link(endpoint platform) : m_platform(std::move(platform)) {}

    awaitable<std::optional<stored_object>> get(std::string path) override {
        auto found = co_await read(path);
        if (!found) {
            co_return std::nullopt;
        }
        co_return std::move(found->object);
    }

    awaitable<std::uint64_t> put(std::string path, std::string value,
                                 std::uint64_t expected_version, std::string operation_id) override;

    awaitable<std::vector<object_change>> list(std::string prefix) override {
        const http_request request =
            make_request(http::verb::get, "/v1/objects?prefix=" + encode_url_path(prefix));
        const http_response answer = co_await call(request, call_timeout);
        co_return read_body(answer, read_changes);
    }

    awaitable<watch_result> watch(std::string prefix, std::uint64_t revision,
                                  milliseconds wait) override;
    awaitable<void> announce(machines::instance self) override;

    awaitable<void> withdraw(instance_id self) override {
        const http_request request =
            make_request(http::verb::delete_, "/v1/instances/" + encode_url_part(self.str()));
        co_await call(request, call_timeout);
    }

    awaitable<std::vector<machines::instance>> instances() override;

private:
    [[nodiscard]] http_request make_request(http::verb method, const std::string& target) const {
        http_request request(method, target, 11);
        request.set(http::field::host, m_platform.str());
        request.set(http::field::connection, "close");
        return request;
    }

    awaitable<std::optional<read_object>> read(const std::string& path);
    awaitable<read_back> try_read(const std::string& path);
    awaitable<http_response> call(const http_request& request, milliseconds timeout);
    awaitable<exchange_result> exchange(const http_request& request, milliseconds timeout);

    endpoint m_platform;
};

awaitable<std::uint64_t> http_platform_link::put(std::string path, std::string value,
                                                 std::uint64_t expected_version,
                                                 std::string operation_id) {
    http_request request = make_request(http::verb::put, "/v1/objects/" + encode_url_path(path));
    request.set(http::field::if_match, std::to_string(expected_version));
    request.set("Oriole-Operation", operation_id);
    request.body() = std::move(value);
    request.prepare_payload();
    milliseconds delay = first_retry_delay;
    std::string failure;
    const auto retry_deadline = steady_clock().now() + put_retry_window;
    for (int attempt = 0; attempt < max_put_attempts && steady_clock().now() < retry_deadline;
         ++attempt) {
        exchange_result result = co_await exchange(request, call_timeout);
        if (result.answer && result.answer->result() == http::status::ok) {
            co_return read_version(*result.answer);
        }
        if (result.answer && result.answer->result() == http::status::payload_too_large) {
            throw object_too_large("object " + path + " exceeds the size limit of the platform");
        }
        failure = result.answer ? "refused by the platform" : result.failure;
        // Reads the object back after a conflict too, because an earlier attempt whose answer was
        // lost may have taken effect.
        const read_back found = co_await try_read(path);
        if (found.object && found.object->operation == operation_id) {
            co_return found.object->object.version;
        }
        const std::uint64_t version = found.object ? found.object->object.version : 0;
        if (found.answered && version != expected_version) {
            throw version_conflict("object " + path + " is not at the expected version");
        }
        co_await sleep_for(delay);
        delay *= 2;
    }
    throw platform_unreachable("update of " + path + " failed: " + failure);
}

awaitable<watch_result> http_platform_link::watch(std::string prefix, std::uint64_t revision,
                                                  milliseconds wait) {
    const http_request request =
        make_request(http::verb::get, "/v1/watch?prefix=" + encode_url_path(prefix) +
                                          "&after=" + std::to_string(revision) +
                                          "&wait_ms=" + std::to_string(wait.count()));
    const http_response answer = co_await call(request, wait + call_timeout);
    co_return read_body(answer, [](const json& body) {
        return watch_result{body.at("revision").get<std::uint64_t>(),
                            read_changes(body.at("changes"))};
    });
}

awaitable<void> http_platform_link::announce(machines::instance self) {
    http_request request =
        make_request(http::verb::put, "/v1/instances/" + encode_url_part(self.id().str()));
    request.body() = instance_to_json(self).dump();
    request.prepare_payload();
    co_await call(request, call_timeout);
}

awaitable<std::vector<machines::instance>> http_platform_link::instances() {
    const http_request request = make_request(http::verb::get, "/v1/instances");
    const http_response answer = co_await call(request, call_timeout);
    co_return read_body(answer, [](const json& body) {
        std::vector<machines::instance> list;
        for (const auto& entry : body) {
            list.push_back(instance_from_json(entry));
        }
        return list;
    });
}

awaitable<std::optional<read_object>> http_platform_link::read(const std::string& path) {
    const http_request request =
        make_request(http::verb::get, "/v1/objects/" + encode_url_path(path));
    const exchange_result result = co_await exchange(request, call_timeout);
    if (!result.answer) {
        throw platform_unreachable("read of " + path + " failed: " + result.failure);
    }
    if (result.answer->result() == http::status::not_found) {
        co_return std::nullopt;
    }
    if (result.answer->result() != http::status::ok) {
        throw platform_unreachable("read of " + path + " was refused by the platform");
    }
    const http_response& answer = *result.answer;
    co_return read_object{{answer.body(), read_version(answer)},
                          std::string(answer["Oriole-Operation"])};
}

awaitable<read_back> http_platform_link::try_read(const std::string& path) {
    try {
        read_back found;
        found.object = co_await read(path);
        found.answered = true;
        co_return found;
    } catch (const platform_unreachable&) {
        co_return read_back{};
    }
}

awaitable<http_response> http_platform_link::call(const http_request& request,
                                                  milliseconds timeout) {
    exchange_result result = co_await exchange(request, timeout);
    const std::string target(request.target());
    if (!result.answer) {
        throw platform_unreachable(target + ": " + result.failure);
    }
    if (result.answer->result() != http::status::ok) {
        throw platform_unreachable(target + " answered with HTTP status " +
                                   std::to_string(result.answer->result_int()));
    }
    co_return std::move(*result.answer);
}

/// Sends the request on a connection of its own. HTTP/1.1 does not name the request that an answer
/// belongs to, so on a shared connection an answer that arrives twice would be taken for the answer
/// to the next request.
awaitable<exchange_result> http_platform_link::exchange(const http_request& request,
                                                        milliseconds timeout) {
    try {
        boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(timeout);
        const auto address = asio::ip::make_address(m_platform.address());
        co_await stream.async_connect({address, m_platform.port()}, use_awaitable);
        stream.socket().set_option(asio::ip::tcp::no_delay(true));
        co_await http::async_write(stream, request, use_awaitable);
        boost::beast::flat_buffer buffer;
        exchange_result result;
        result.answer.emplace();
        co_await http::async_read(stream, buffer, *result.answer, use_awaitable);
        error_code ignored;
        if (buffer.size() > 0 || stream.socket().available(ignored) > 0) {
            LOG(WARNING) << "the platform sent more than the answer; connection closed; call=\""
                         << request.method_string() << " " << request.target() << "\"";
        }
        co_return result;
    } catch (const boost::system::system_error& failure) {
        co_return exchange_result{std::nullopt, failure.code().message()};
    }
}

} // namespace

std::unique_ptr<platform_link> make_http_platform_link(endpoint platform) {
    return std::make_unique<http_platform_link>(std::move(platform));
}

} // namespace oriole::links
