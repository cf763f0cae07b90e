#include "machines/resource_account.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace oriole::machines {
namespace {

void close_all(const std::vector<std::weak_ptr<resource_holder>>& holders, refusal_reason reason) {
    for (const auto& known : holders) {
        if (const auto holder = known.lock()) {
            holder->close_for(reason);
        }
    }
}

} // namespace

std::string_view to_string(refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::held_memory:
        return "held_memory";
    case refusal_reason::running_memory:
        return "running_memory";
    case refusal_reason::connections:
        return "connections";
    case refusal_reason::session_values:
        return "session_values";
    case refusal_reason::message_too_long:
        return "message_too_long";
    case refusal_reason::unfinished_message:
        return "unfinished_message";
    case refusal_reason::unread_answer:
        return "unread_answer";
    }
    return "";
}

std::string_view to_string(client_port port) noexcept {
    switch (port) {
    case client_port::callers:
        return "callers";
    case client_port::peers:
        return "peers";
    case client_port::gateway:
        return "gateway";
    case client_port::admin:
        return "admin";
    }
    return "";
}

resource_holding::resource_holding(std::shared_ptr<resource_account> account, client_port port,
                                   std::uint64_t id)
    : m_account(std::move(account)), m_port(port), m_id(id) {}

resource_holding::~resource_holding() {
    m_account->close(m_id);
}

void resource_holding::authenticate(const std::string& client) {
    m_account->authenticate(m_id, client);
}

bool resource_holding::hold(held_part part, std::size_t bytes) {
    return m_account->hold(m_id, part, bytes);
}

void resource_holding::count_refusal(refusal_reason reason) {
    m_account->count_refusal(m_port, reason);
}

running_memory::running_memory(std::shared_ptr<resource_account> account, running_kind kind,
                               std::string client, std::size_t bytes)
    : m_account(std::move(account)), m_kind(kind), m_client(std::move(client)), m_bytes(bytes) {}

running_memory::~running_memory() {
    m_account->end_run(m_kind, m_client, m_bytes);
}

std::size_t resource_account::connection::bytes() const noexcept {
    return std::accumulate(parts.begin(), parts.end(), std::size_t{0});
}

std::unique_ptr<resource_holding> resource_account::open(client_port port,
                                                         std::weak_ptr<resource_holder> holder) {
    holder_list closed;
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        closed = make_room(port);
        if (is_full(port)) {
            return nullptr;
        }
        id = ++m_last_id;
        ++m_open.at(static_cast<std::size_t>(port));
        auto& added = m_connections[id];
        added.port = port;
        added.holder = std::move(holder);
    }
    close_all(closed, refusal_reason::connections);
    return std::make_unique<resource_holding>(shared_from_this(), port, id);
}

std::unique_ptr<running_memory>
resource_account::try_run(running_kind kind, const std::string& client, std::size_t bytes) {
    const std::lock_guard lock(m_mutex);
    auto& total = m_running.at(static_cast<std::size_t>(kind));
    const auto client_bound = m_bounds.client_running_bytes(kind);
    const auto reserved = std::min(bytes, client_bound);
    const auto known = total.by_client.find(client);
    const std::size_t own = known == total.by_client.end() ? 0 : known->second;
    if (own + reserved > client_bound || total.bytes + reserved > m_bounds.running_bytes(kind)) {
        return nullptr;
    }
    total.bytes += reserved;
    total.by_client[client] += reserved;
    return std::make_unique<running_memory>(shared_from_this(), kind, client, reserved);
}

std::vector<refusal_count> resource_account::refusals() const {
    const std::lock_guard lock(m_mutex);
    std::vector<refusal_count> counts;
    for (std::size_t port = 0; port < client_port_count; ++port) {
        for (std::size_t reason = 0; reason < refusal_reason_count; ++reason) {
            const auto count = m_refusals.at(port).at(reason);
            if (count > 0) {
                counts.push_back(
                    {static_cast<client_port>(port), static_cast<refusal_reason>(reason), count});
            }
        }
    }
    return counts;
}

std::size_t resource_account::held_bytes() const {
    const std::lock_guard lock(m_mutex);
    return m_held;
}

std::size_t resource_account::running_bytes() const {
    const std::lock_guard lock(m_mutex);
    return std::accumulate(m_running.begin(), m_running.end(), std::size_t{0},
                           [](std::size_t sum, const auto& total) { return sum + total.bytes; });
}

std::size_t resource_account::connections(client_port port) const {
    const std::lock_guard lock(m_mutex);
    return m_open.at(static_cast<std::size_t>(port));
}

void resource_account::authenticate(std::uint64_t id, const std::string& client) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return; // It is being closed.
    }
    auto& known = found->second;
    const auto bytes = known.bytes();
    m_held_by_client[known.client] -= bytes;
    known.client = client;
    m_held_by_client[known.client] += bytes;
}

bool resource_account::hold(std::uint64_t id, held_part part, std::size_t bytes) {
    holder_list closed;
    bool kept = true;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_connections.find(id);
        if (found == m_connections.end()) {
            return false; // It is being closed.
        }
        auto& held = found->second.parts.at(static_cast<std::size_t>(part));
        auto& of_client = m_held_by_client[found->second.client];
        m_held += bytes - held;
        of_client += bytes - held;
        const bool grows = bytes > held;
        held = bytes;
        if (grows && m_held > m_bounds.held_bytes()) {
            closed = release_held();
            kept = m_connections.contains(id);
        }
    }
    close_all(closed, refusal_reason::held_memory);
    return kept;
}

void resource_account::close(std::uint64_t id) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        forget(found);
    }
}

void resource_account::count_refusal(client_port port, refusal_reason reason) {
    const std::lock_guard lock(m_mutex);
    add_refusal(port, reason);
}

void resource_account::add_refusal(client_port port, refusal_reason reason) {
    ++m_refusals.at(static_cast<std::size_t>(port)).at(static_cast<std::size_t>(reason));
}

void resource_account::end_run(running_kind kind, const std::string& client, std::size_t bytes) {
    const std::lock_guard lock(m_mutex);
    auto& total = m_running.at(static_cast<std::size_t>(kind));
    total.bytes -= bytes;
    const auto known = total.by_client.find(client);
    if (known == total.by_client.end()) {
        return; // Reservations of no bytes are not kept by client.
    }
    known->second -= bytes;
    if (known->second == 0) {
        total.by_client.erase(known);
    }
}

resource_account::holder_list resource_account::release_held() {
    holder_list closed;
    while (m_held > m_bounds.held_bytes()) {
        // Above the bound, at least one client holds more than an equal part of it.
        const auto chosen = largest_above_part();
        closed.push_back(chosen->second.holder);
        add_refusal(chosen->second.port, refusal_reason::held_memory);
        forget(chosen);
    }
    return closed;
}

resource_account::connection_map::iterator resource_account::largest_above_part() {
    const auto clients = static_cast<std::size_t>(
        std::count_if(m_held_by_client.begin(), m_held_by_client.end(),
                      [](const auto& client) { return client.second > 0; }));
    const auto part = m_bounds.held_bytes() / std::max<std::size_t>(clients, 1);
    // Stage, bytes of the client and bytes of the connection. The highest goes first.
    using rank = std::tuple<int, std::size_t, std::size_t>;
    auto chosen = m_connections.end();
    rank highest{};
    for (auto at = m_connections.begin(); at != m_connections.end(); ++at) {
        const auto& known = at->second;
        const auto bytes = known.bytes();
        const auto of_client = m_held_by_client[known.client];
        if (bytes == 0 || of_client <= part) {
            continue;
        }
        const bool unfinished = known.parts.at(static_cast<std::size_t>(held_part::input)) > 0;
        const int stage = !known.client ? 2 : (unfinished ? 1 : 0);
        const rank own{stage, of_client, bytes};
        if (chosen == m_connections.end() || own > highest) {
            chosen = at;
            highest = own;
        }
    }
    return chosen;
}

bool resource_account::is_full(client_port port) const {
    return m_open.at(static_cast<std::size_t>(port)) >= m_bounds.connections(port);
}

resource_account::holder_list resource_account::make_room(client_port port) {
    holder_list closed;
    if (!is_full(port)) {
        return closed;
    }
    add_refusal(port, refusal_reason::connections);
    const auto chosen = connection_to_replace(port);
    if (chosen != m_connections.end()) {
        closed.push_back(chosen->second.holder);
        forget(chosen);
    }
    return closed;
}

resource_account::connection_map::iterator
resource_account::connection_to_replace(client_port port) {
    std::map<client_name, std::size_t> by_client;
    for (const auto& [id, known] : m_connections) {
        if (known.port == port) {
            ++by_client[known.client];
        }
    }
    const auto unauthenticated = std::exchange(by_client[std::nullopt], 0);
    if (unauthenticated > m_bounds.unauthenticated(port)) {
        return std::find_if(m_connections.begin(), m_connections.end(), [port](const auto& known) {
            return known.second.port == port && !known.second.client;
        });
    }
    // A connection between instances may carry a call whose outcome would be lost.
    if (port != client_port::callers) {
        return m_connections.end();
    }
    const auto most = std::max_element(
        by_client.begin(), by_client.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    if (most->second <= 1) {
        return m_connections.end();
    }
    const auto newest =
        std::find_if(m_connections.rbegin(), m_connections.rend(), [port, most](const auto& known) {
            return known.second.port == port && known.second.client == most->first;
        });
    return std::prev(newest.base());
}

void resource_account::forget(connection_map::iterator position) {
    const auto bytes = position->second.bytes();
    m_held -= bytes;
    const auto of_client = m_held_by_client.find(position->second.client);
    if (of_client != m_held_by_client.end()) {
        of_client->second -= bytes;
        if (of_client->second == 0) {
            m_held_by_client.erase(of_client);
        }
    }
    --m_open.at(static_cast<std::size_t>(position->second.port));
    m_connections.erase(position);
}

} // namespace oriole::machines
