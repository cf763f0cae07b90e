#pragma once

#include "machines/promotion.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oriole::machines {

/// Simulates three servers that follow the term rules of the design page, section 4.2, a network
/// that loses, duplicates, delays and reorders messages, concurrent promoters, and a client that
/// writes. Each call of `step` performs one action, selected by its argument. An entry counts as
/// confirmed once a second server has confirmed it. Violations of the consistency rules are
/// recorded.
class server_group_model {
public:
    server_group_model();

    void step(std::uint32_t choice);

    [[nodiscard]] const std::string& violation() const { return m_violation; }

    [[nodiscard]] std::size_t confirmed() const { return m_confirmed.size(); }

    [[nodiscard]] std::size_t promotions() const { return m_promotions; }

private:
    using log_entries =
        std::vector<std::uint64_t>; ///< log; each entry is term * 2^32 + unique number

    struct server {
        std::uint64_t term = 1;
        std::string promoter;
        bool primary = false;
        std::optional<server_name> following;
        log_entries log;
        bool paused = false;
    };

    struct request_message {
        promotion_action action;
        std::size_t promoter = 0;
    };

    struct answer_message {
        promotion_event event;
        std::size_t promoter = 0;
    };

    struct fetched_message {
        server_name replica;
        std::uint64_t term = 0;
        log_entries log;
    };

    struct confirm_message {
        server_name server;
        std::uint64_t term = 0;
        std::size_t offset = 0;
        std::uint64_t entry = 0;
    };

    using message = std::variant<request_message, answer_message, fetched_message, confirm_message>;

    void deliver(std::uint32_t choice, bool duplicate);
    void handle(const request_message& m);
    void handle(const answer_message& m);
    void handle(const fetched_message& m);
    void handle(const confirm_message& m);
    [[nodiscard]] promotion_event fence(server& s, const promotion_action& a,
                                        const std::string& promoter);
    [[nodiscard]] promotion_event promote(server& s, const promotion_action& a,
                                          const std::string& promoter);
    [[nodiscard]] promotion_event follow(server& s, const promotion_action& a);
    void drop_message(std::uint32_t choice);
    void toggle_pause(std::uint32_t choice);
    void write(std::uint32_t choice);
    void fetch(std::uint32_t choice);
    void start_promoter(std::uint32_t choice);
    void send_promoter_event(std::uint32_t choice);
    void send(std::size_t promoter, const std::vector<promotion_action>& actions);
    void check_primary(const server& s);
    [[nodiscard]] server& pick_server(std::uint32_t choice);
    [[nodiscard]] static bool contains(const log_entries& log, std::size_t offset,
                                       std::uint64_t entry);

    std::map<server_name, server> m_servers;
    std::vector<std::unique_ptr<promotion>> m_promoters;
    std::vector<std::uint64_t> m_promoter_terms;
    std::vector<message> m_network;
    std::map<std::size_t, std::uint64_t> m_confirmed; ///< confirmed entry by offset
    std::uint64_t m_next_entry = 1;
    std::size_t m_promotions = 0;
    std::string m_violation;
};

} // namespace oriole::machines
