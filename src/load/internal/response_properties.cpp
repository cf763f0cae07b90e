#include "load/internal/property.h"

namespace oriole::load {
namespace {

/// Base of the properties that are checked on each request separately.
class request_property : public property {
public:
    [[nodiscard]] std::vector<violation> check(const recorded_history& history,
                                               const row_index&) const override {
        std::vector<violation> found;
        for (const auto& request : history.requests) {
            if (violates(request, history)) {
                found.push_back({{}, detail(), {describe(request)}});
            }
        }
        return found;
    }

protected:
    [[nodiscard]] virtual bool violates(const recorded_request& request,
                                        const recorded_history& history) const = 0;
    [[nodiscard]] virtual std::string detail() const = 0;
};

class incomplete_answer final : public request_property {
public:
    [[nodiscard]] std::string name() const override { return "incomplete_answer"; }

protected:
    [[nodiscard]] bool violates(const recorded_request& request,
                                const recorded_history&) const override {
        return request.done() && request.results.size() < request.statements.size();
    }

    [[nodiscard]] std::string detail() const override {
        return "a response with the outcome done has fewer results than statements";
    }
};

class wrong_account final : public request_property {
public:
    [[nodiscard]] std::string name() const override { return "wrong_account"; }

protected:
    [[nodiscard]] bool violates(const recorded_request& request,
                                const recorded_history& history) const override {
        const auto account = history.accounts.find(request.account);
        if (account == history.accounts.end() || !account->second.key_ends) {
            return false;
        }
        return request.done() && request.sent >= *account->second.key_ends;
    }

    [[nodiscard]] std::string detail() const override {
        return "a request ran with a key that is unknown or withdrawn";
    }
};

/// Every response must name an outcome, and every write with an unknown outcome must be resolved by
/// a lookup. Reads have no effect and need no lookup. Writes of an account whose key ends are
/// exempt, since the key is needed for the lookup.
class missing_outcome final : public request_property {
public:
    [[nodiscard]] std::string name() const override { return "missing_outcome"; }

protected:
    [[nodiscard]] bool violates(const recorded_request& request,
                                const recorded_history& history) const override {
        if (!request.result) {
            return true;
        }
        const auto account = history.accounts.find(request.account);
        const bool key_ended =
            account != history.accounts.end() && account->second.key_ends.has_value();
        return request.writes() && !key_ended && request.final_outcome() == outcome::unknown;
    }

    [[nodiscard]] std::string detail() const override {
        return "a response names no outcome, or lookups left it unknown";
    }
};

} // namespace

std::unique_ptr<property> make_incomplete_answer() {
    return std::make_unique<incomplete_answer>();
}

std::unique_ptr<property> make_wrong_account() {
    return std::make_unique<wrong_account>();
}

std::unique_ptr<property> make_missing_outcome() {
    return std::make_unique<missing_outcome>();
}

} // namespace oriole::load
