#include "machines/resource_account.h"

#include <gtest/gtest.h>

namespace oriole::machines {
namespace {

class recording_holder final : public resource_holder {
public:
    void close_for(refusal_reason reason) override { m_reason = reason; }

    [[nodiscard]] bool closed() const { return m_reason.has_value(); }

    [[nodiscard]] std::optional<refusal_reason> reason() const { return m_reason; }

private:
    std::optional<refusal_reason> m_reason;
};

/// A connection of a client that the account may close.
struct test_connection {
    std::shared_ptr<recording_holder> holder = std::make_shared<recording_holder>();
    std::unique_ptr<resource_holding> holding;

    [[nodiscard]] bool closed() const { return holder->closed(); }

    [[nodiscard]] bool hold(held_part part, std::size_t bytes) const {
        return holding->hold(part, bytes);
    }
};

class resource_account_test : public testing::Test {
protected:
    static constexpr std::size_t mebibyte = std::size_t{1} << 20U;

    /// An empty name leaves the connection unauthenticated.
    test_connection connect(const std::string& client, client_port port = client_port::callers) {
        test_connection opened;
        opened.holding = m_account->open(port, opened.holder);
        if (!client.empty()) {
            opened.holding->authenticate(client);
        }
        return opened;
    }

    std::vector<test_connection> connect_many(std::size_t number, const std::string& client,
                                              client_port port = client_port::callers) {
        std::vector<test_connection> opened;
        opened.reserve(number);
        while (opened.size() < number) {
            opened.push_back(connect(client, port));
        }
        return opened;
    }

    /// 16 MiB for each kind of memory, 128 connections of callers.
    const resource_bounds m_bounds{process_limits{64 * mebibyte, 456}};
    std::shared_ptr<resource_account> m_account = std::make_shared<resource_account>(m_bounds);
};

// Guards against a client that fills the memory and has the others closed in its place.
TEST_F(resource_account_test, client_that_reaches_the_bound_is_closed_before_smaller_clients) {
    const auto small = connect("small");
    EXPECT_TRUE(small.hold(held_part::input, mebibyte));
    const auto large = connect("large");
    EXPECT_TRUE(large.hold(held_part::session, 12 * mebibyte));
    EXPECT_FALSE(large.hold(held_part::answer, 6 * mebibyte));
    EXPECT_TRUE(large.closed());
    EXPECT_FALSE(small.closed());
    EXPECT_EQ(m_account->held_bytes(), mebibyte);
}

// Guards against a crowd of small connections of one client that outlasts the one of another.
TEST_F(resource_account_test, many_connections_of_one_client_count_together) {
    const auto single = connect("single");
    EXPECT_TRUE(single.hold(held_part::session, 2 * mebibyte));
    const auto crowd = connect_many(40, "crowd");
    for (const auto& connection : crowd) {
        static_cast<void>(connection.hold(held_part::session, mebibyte));
    }
    EXPECT_FALSE(single.closed());
    EXPECT_LE(m_account->held_bytes(), m_bounds.held_bytes());
}

// Guards against an authenticated client that is closed while unauthenticated ones hold more than
// their part.
TEST_F(resource_account_test, unauthenticated_connections_are_closed_before_authenticated_ones) {
    const auto known = connect("known");
    EXPECT_TRUE(known.hold(held_part::session, 8 * mebibyte));
    const auto unknown = connect_many(9, "");
    for (const auto& connection : unknown) {
        static_cast<void>(connection.hold(held_part::input, mebibyte));
    }
    EXPECT_TRUE(unknown.front().closed());
    EXPECT_FALSE(known.closed());
}

// Guards against newcomers that are shut out by a client that holds most of the memory.
TEST_F(resource_account_test, unauthenticated_connection_within_its_part_is_kept) {
    const auto unknown = connect("");
    EXPECT_TRUE(unknown.hold(held_part::input, 1024));
    const auto known = connect("known");
    EXPECT_FALSE(known.hold(held_part::session, 17 * mebibyte));
    EXPECT_FALSE(unknown.closed());
}

// Guards against sessions that are closed for the sake of messages that may never end.
TEST_F(resource_account_test, unfinished_messages_are_closed_before_larger_sessions) {
    const auto finished = connect("client");
    EXPECT_TRUE(finished.hold(held_part::session, 8 * mebibyte));
    const auto unfinished = connect("client");
    EXPECT_TRUE(unfinished.hold(held_part::input, 4 * mebibyte));
    const auto last = connect("client");
    EXPECT_TRUE(last.hold(held_part::answer, 5 * mebibyte));
    EXPECT_TRUE(unfinished.closed());
    EXPECT_FALSE(finished.closed());
    EXPECT_EQ(unfinished.holder->reason(), refusal_reason::held_memory);
}

// Guards against the smallest of a client's connections being closed, which frees nothing.
TEST_F(resource_account_test, largest_connection_of_a_client_is_closed_first) {
    const auto small = connect("client");
    EXPECT_TRUE(small.hold(held_part::session, mebibyte));
    const auto large = connect("client");
    EXPECT_TRUE(large.hold(held_part::session, 10 * mebibyte));
    const auto last = connect("client");
    EXPECT_TRUE(last.hold(held_part::session, 6 * mebibyte));
    EXPECT_TRUE(large.closed());
    EXPECT_FALSE(small.closed());
}

// Guards against memory that stays counted after its connection has ended.
TEST_F(resource_account_test, connection_that_ends_gives_back_what_it_held) {
    auto ended = connect("client");
    EXPECT_TRUE(ended.hold(held_part::input, mebibyte));
    EXPECT_EQ(m_account->connections(client_port::callers), 1U);
    ended.holding.reset();
    EXPECT_EQ(m_account->held_bytes(), 0U);
    EXPECT_EQ(m_account->connections(client_port::callers), 0U);
}

// Guards against connections that send nothing and use up the descriptors.
TEST_F(resource_account_test, oldest_unauthenticated_connection_makes_room_for_a_new_one) {
    const auto silent = connect_many(m_bounds.connections(client_port::callers), "");
    const auto added = connect("");
    EXPECT_TRUE(silent.front().closed());
    EXPECT_FALSE(silent.back().closed());
    EXPECT_FALSE(added.closed());
    EXPECT_EQ(m_account->connections(client_port::callers),
              m_bounds.connections(client_port::callers));
}

// Guards against one client whose sessions leave no connection for others.
TEST_F(resource_account_test, newest_connection_of_the_client_with_most_makes_room) {
    const auto other = connect("other");
    const auto crowd = connect_many(m_bounds.connections(client_port::callers) - 1, "crowd");
    const auto added = connect("");
    EXPECT_FALSE(other.closed());
    EXPECT_FALSE(crowd.front().closed());
    EXPECT_TRUE(crowd.back().closed());
    EXPECT_EQ(crowd.back().holder->reason(), refusal_reason::connections);
}

// Guards against a call between instances whose outcome is lost for the sake of a new connection.
TEST_F(resource_account_test, authenticated_connections_between_instances_are_kept) {
    const auto instances =
        connect_many(m_bounds.connections(client_port::gateway), "instance", client_port::gateway);
    EXPECT_EQ(m_account->open(client_port::gateway, instances.front().holder), nullptr);
    EXPECT_FALSE(instances.front().closed());
    EXPECT_FALSE(instances.back().closed());
}

// Guards against a newcomer that takes the only connection of another client.
TEST_F(resource_account_test, last_connection_of_a_client_is_kept) {
    std::vector<test_connection> clients;
    for (std::size_t number = 0; number < m_bounds.connections(client_port::callers); ++number) {
        clients.push_back(connect("client" + std::to_string(number)));
    }
    EXPECT_EQ(m_account->open(client_port::callers, clients.front().holder), nullptr);
    EXPECT_FALSE(clients.back().closed());
}

// Guards against a crowd at one port that closes connections of another.
TEST_F(resource_account_test, ports_have_connections_of_their_own) {
    const auto caller = connect("");
    const auto probes = connect_many(40, "", client_port::admin);
    EXPECT_FALSE(caller.closed());
    EXPECT_TRUE(probes.front().closed());
}

// Guards against one client whose large statements leave no memory for those of others, and against
// a single statement that never fits.
TEST_F(resource_account_test, statements_of_one_client_leave_memory_for_others) {
    const auto first = m_account->try_run(running_kind::statement, "greedy", 100 * mebibyte);
    EXPECT_NE(first, nullptr);
    EXPECT_EQ(m_account->try_run(running_kind::statement, "greedy", mebibyte), nullptr);
    const auto other = m_account->try_run(running_kind::statement, "other", 8 * mebibyte);
    EXPECT_NE(other, nullptr);
    EXPECT_EQ(m_account->try_run(running_kind::statement, "third", mebibyte), nullptr);
    EXPECT_EQ(m_account->running_bytes(), m_bounds.running_bytes(running_kind::statement));
}

// Guards against memory that stays reserved after its statement has ended.
TEST_F(resource_account_test, statement_that_ends_gives_back_its_memory) {
    auto first = m_account->try_run(running_kind::statement, "client", 8 * mebibyte);
    EXPECT_EQ(m_account->try_run(running_kind::statement, "client", mebibyte), nullptr);
    first.reset();
    EXPECT_EQ(m_account->running_bytes(), 0U);
    EXPECT_NE(m_account->try_run(running_kind::statement, "client", mebibyte), nullptr);
}

// Guards against a statement whose own reservation leaves no memory for its answer.
TEST_F(resource_account_test, answers_have_memory_of_their_own) {
    const auto statement = m_account->try_run(running_kind::statement, "client", 100 * mebibyte);
    EXPECT_NE(statement, nullptr);
    EXPECT_NE(m_account->try_run(running_kind::answer, "client", 3 * mebibyte), nullptr);
}

// Guards against refusals that operators cannot see.
TEST_F(resource_account_test, refusals_are_counted_by_port_and_reason) {
    const auto client = connect("client");
    static_cast<void>(client.hold(held_part::session, 17 * mebibyte));
    client.holding->count_refusal(refusal_reason::running_memory);
    const std::vector<refusal_count> expected{
        {client_port::callers, refusal_reason::held_memory, 1},
        {client_port::callers, refusal_reason::running_memory, 1}};
    EXPECT_EQ(m_account->refusals(), expected);
}

} // namespace
} // namespace oriole::machines
