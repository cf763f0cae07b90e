#include "platform/platform_server.h"

#include "base/clock.h"
#include "platform/http_target.h"
#include "platform/instance_list.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <list>
#include <optional>
#include <set>
#include <string>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

constexpr std::chrono::seconds probe_interval{1};
constexpr std::chrono::milliseconds probe_timeout{500};
constexpr std::uint64_t default_watch_wait_ms = 10'000;
constexpr std::string_view objects_path = "/v1/objects/";
constexpr std::string_view instances_path = "/v1/instances/";

/// Limit on request bodies. It is above the object size limit, so that the client of an oversized
/// object receives status 413 instead of a connection reset.
constexpr std::size_t max_body_bytes = 8 * max_object_bytes;

endpoint to_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

json to_json(const std::vector<platform_change>& changes) {
    json list = json::array();
    for (const auto& change : changes) {
        list.push_back({{"path", change.path}, {"version", change.version}});
    }
    return list;
}

bool starts_with(const std::string& text, std::string_view prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

http_response make_response(http::status status, const json& body) {
    http_response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump();
    return response;
}

http_response make_error(http::status status, const std::string& reason) {
    return make_response(status, {{"error", reason}});
}

class beast_platform_server final : public platform_server {
public:
    beast_platform_server(asio::io_context& io, const platform_options& options)
        : m_io(io),
          m_acceptor(io),
          m_probe_timer(io),
          m_instances(options.list_lag),
          m_faults(options.faults) {
        const tcp::endpoint address(asio::ip::make_address(options.listen.address()),
                                    options.listen.port());
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
        asio::co_spawn(io, accept_connections(), asio::detached);
        asio::co_spawn(io, probe_instances(), asio::detached);
    }

    [[nodiscard]] endpoint address() const override {
        const auto local = m_acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }

    void set_faults(const platform_faults& faults) override {
        m_faults.set(faults);
        wake_waiting_watches();
    }

    void stop() override {
        m_stopped = true;
        error_code ignored;
        m_acceptor.close(ignored);
        m_probe_timer.cancel();
        wake_waiting_watches();
        for (auto* socket : m_connections) {
            socket->close(ignored);
        }
    }

private:
    awaitable<void> accept_connections();
    awaitable<void> serve(tcp::socket socket);
    awaitable<void> serve_requests(tcp::socket& socket);
    awaitable<std::optional<http_response>> handle_with_faults(const http_request& request);
    awaitable<http_response> dispatch(const http_request& request, const http_target& target);
    awaitable<http_response> watch(const http_target& target);
    http_response get_object(const std::string& path);
    http_response put_object(const std::string& path, const http_request& request);
    http_response handle_instance(const std::string& id, const http_request& request);
    http_response list_instances();
    http_response handle_faults(const http_request& request);
    http_response get_counters();
    awaitable<void> probe_instances();
    awaitable<bool> is_reachable(endpoint admin_endpoint);
    void wake_waiting_watches();

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_probe_timer;
    platform_store m_store;
    instance_list m_instances;
    fault_plan m_faults;
    std::map<std::string, std::uint64_t> m_counters;
    std::set<tcp::socket*> m_connections;
    std::set<asio::steady_timer*> m_watch_timers;
    bool m_stopped = false;
};

awaitable<void> beast_platform_server::accept_connections() {
    while (!m_stopped) {
        error_code failed;
        tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, failed));
        if (!failed) {
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
        }
    }
}

awaitable<void> beast_platform_server::serve(tcp::socket socket) {
    m_connections.insert(&socket);
    try {
        co_await serve_requests(socket);
    } catch (const std::exception&) {
        // The connection failed, which its client detects as well.
    }
    m_connections.erase(&socket);
}

awaitable<void> beast_platform_server::serve_requests(tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    socket.set_option(tcp::no_delay(true));
    while (!m_stopped) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        co_await http::async_read(socket, buffer, parser, use_awaitable);
        const http_request request = parser.release();
        std::optional<http_response> response = co_await handle_with_faults(request);
        if (!response) {
            co_return;
        }
        response->keep_alive(request.keep_alive());
        response->prepare_payload();
        co_await http::async_write(socket, *response, use_awaitable);
        if (!request.keep_alive()) {
            co_return;
        }
    }
}

awaitable<std::optional<http_response>>
beast_platform_server::handle_with_faults(const http_request& request) {
    const http_target target = parse_http_target(request.target());
    if (target.path == "/v1/faults") {
        co_return handle_faults(request);
    }
    if (target.path == "/v1/counters") {
        co_return get_counters();
    }
    if (m_faults.faults().delay.count() > 0) {
        asio::steady_timer delay(m_io, m_faults.faults().delay);
        co_await delay.async_wait(use_awaitable);
    }
    if (m_faults.faults().down) {
        co_return std::nullopt;
    }
    if (m_faults.draw_refusal()) {
        co_return make_error(http::status::service_unavailable, "refused by an injected fault");
    }
    const bool response_lost = m_faults.draw_lost_answer();
    http_response response = co_await dispatch(request, target);
    if (response_lost || m_faults.faults().down) {
        co_return std::nullopt;
    }
    co_return response;
}

awaitable<http_response> beast_platform_server::dispatch(const http_request& request,
                                                         const http_target& target) {
    const bool is_get = request.method() == http::verb::get;
    if (is_get && target.path == "/v1/watch") {
        ++m_counters["watch"];
        co_return co_await watch(target);
    }
    if (is_get && target.path == "/v1/objects") {
        ++m_counters["list"];
        const auto prefix = target.query.find("prefix");
        co_return make_response(
            http::status::ok,
            to_json(m_store.changes_after(prefix == target.query.end() ? "" : prefix->second, 0)));
    }
    if (is_get && target.path == "/v1/instances") {
        co_return list_instances();
    }
    if (starts_with(target.path, instances_path)) {
        co_return handle_instance(target.path.substr(instances_path.size()), request);
    }
    if (!starts_with(target.path, objects_path)) {
        co_return make_error(http::status::not_found, "unknown path");
    }
    const std::string path = target.path.substr(objects_path.size());
    if (is_get) {
        co_return get_object(path);
    }
    if (request.method() == http::verb::put) {
        co_return put_object(path, request);
    }
    co_return make_error(http::status::method_not_allowed, "unsupported method");
}

awaitable<http_response> beast_platform_server::watch(const http_target& target) {
    const auto found = target.query.find("prefix");
    const std::string prefix = found == target.query.end() ? "" : found->second;
    const std::uint64_t after = target.number("after", 0);
    const std::chrono::milliseconds wait(target.number("wait_ms", default_watch_wait_ms));
    const auto deadline = std::chrono::steady_clock::now() + wait;
    auto changes = m_store.changes_after(prefix, after);
    // A client whose `after` is above the store's revision received that revision before the
    // store was restarted. The request is answered at once, so that the client continues from the
    // current revision.
    while (changes.empty() && after <= m_store.revision() && !m_faults.faults().down &&
           !m_stopped && std::chrono::steady_clock::now() < deadline) {
        asio::steady_timer timer(m_io, deadline);
        m_watch_timers.insert(&timer);
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
        m_watch_timers.erase(&timer);
        changes = m_store.changes_after(prefix, after);
    }
    co_return make_response(http::status::ok,
                            {{"revision", m_store.revision()}, {"changes", to_json(changes)}});
}

http_response beast_platform_server::get_object(const std::string& path) {
    ++m_counters["get"];
    auto object = m_store.find(path);
    if (!object) {
        return make_error(http::status::not_found, "object does not exist");
    }
    http_response response(http::status::ok, 11);
    response.set("Oriole-Version", std::to_string(object->version));
    response.set("Oriole-Operation", object->operation);
    response.body() = std::move(object->value);
    return response;
}

http_response beast_platform_server::put_object(const std::string& path,
                                                const http_request& request) {
    ++m_counters["put"];
    const std::string condition(request[http::field::if_match]);
    if (condition.empty() || condition.find_first_not_of("0123456789") != std::string::npos) {
        return make_error(
            http::status::bad_request,
            "header If-Match must be the object's expected version, an unsigned integer");
    }
    const auto result = m_store.put(path, request.body(), std::stoull(condition),
                                    std::string(request["Oriole-Operation"]));
    if (result.status == put_status::too_large) {
        return make_error(http::status::payload_too_large, "value exceeds the limit of " +
                                                               std::to_string(max_object_bytes) +
                                                               " bytes");
    }
    const bool conflict = result.status == put_status::conflict;
    if (!conflict) {
        wake_waiting_watches();
    }
    http_response response = make_response(conflict ? http::status::conflict : http::status::ok,
                                           {{"version", result.version}});
    response.set("Oriole-Version", std::to_string(result.version));
    return response;
}

http_response beast_platform_server::handle_instance(const std::string& id,
                                                     const http_request& request) {
    const auto now = steady_clock().now();
    if (request.method() == http::verb::delete_) {
        ++m_counters["instance_delete"];
        m_instances.remove(id, now);
        return make_response(http::status::ok, json::object());
    }
    if (request.method() != http::verb::put) {
        return make_error(http::status::method_not_allowed, "unsupported method");
    }
    ++m_counters["instance_put"];
    const json body = json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("admin") || !body["admin"].is_string()) {
        return make_error(http::status::bad_request,
                          "body must be a JSON object whose member 'admin' is ADDRESS:PORT");
    }
    m_instances.put(id, {request.body(), to_endpoint(body["admin"].get<std::string>())}, now);
    return make_response(http::status::ok, json::object());
}

http_response beast_platform_server::list_instances() {
    ++m_counters["instance_list"];
    json list = json::array();
    for (const auto& [id, entry] : m_instances.visible_entries(steady_clock().now())) {
        list.push_back(json::parse(entry.description));
    }
    return make_response(http::status::ok, list);
}

http_response beast_platform_server::handle_faults(const http_request& request) {
    platform_faults faults = m_faults.faults();
    if (request.method() == http::verb::put) {
        try {
            const json body = json::parse(request.body());
            faults.delay = std::chrono::milliseconds(body.value("delay_ms", faults.delay.count()));
            faults.lost_answer_share = body.value("lost_answer_share", faults.lost_answer_share);
            faults.refuse_share = body.value("refuse_share", faults.refuse_share);
            faults.down = body.value("down", faults.down);
            faults.seed = body.value("seed", faults.seed);
        } catch (const json::exception& failure) {
            return make_error(http::status::bad_request, failure.what());
        }
        set_faults(faults);
    }
    return make_response(http::status::ok, {{"delay_ms", faults.delay.count()},
                                            {"lost_answer_share", faults.lost_answer_share},
                                            {"refuse_share", faults.refuse_share},
                                            {"down", faults.down},
                                            {"seed", faults.seed}});
}

http_response beast_platform_server::get_counters() {
    return make_response(http::status::ok, json(m_counters));
}

awaitable<void> beast_platform_server::probe_instances() {
    while (!m_stopped) {
        m_probe_timer.expires_after(probe_interval);
        error_code ignored;
        co_await m_probe_timer.async_wait(asio::redirect_error(use_awaitable, ignored));
        const auto instances = m_instances.current_entries();
        for (const auto& [id, entry] : instances) {
            const bool answered = co_await is_reachable(entry.admin_endpoint);
            m_instances.record_probe(id, answered, steady_clock().now());
        }
    }
}

awaitable<bool> beast_platform_server::is_reachable(endpoint admin_endpoint) {
    error_code failed;
    const auto address = asio::ip::make_address(admin_endpoint.address(), failed);
    if (failed) {
        co_return false;
    }
    boost::beast::tcp_stream stream(m_io);
    stream.expires_after(probe_timeout);
    co_await stream.async_connect(tcp::endpoint(address, admin_endpoint.port()),
                                  asio::redirect_error(use_awaitable, failed));
    co_return !failed;
}

void beast_platform_server::wake_waiting_watches() {
    for (auto* timer : m_watch_timers) {
        timer->cancel();
    }
}

} // namespace

std::unique_ptr<platform_server> make_platform_server(asio::io_context& io,
                                                      const platform_options& options) {
    return std::make_unique<beast_platform_server>(io, options);
}

} // namespace oriole::standins
