#include "load/types/recorded_request.h"

#include <sstream>

namespace oriole::load {
namespace {

std::string_view outcome_text(const std::optional<outcome>& value) {
    return value ? to_string(*value) : "none";
}

void describe(std::ostream& out, const machines::statement& item) {
    switch (item.kind) {
    case machines::statement_kind::get:
        out << " get " << item.row;
        break;
    case machines::statement_kind::put:
        out << " put " << item.row << '=' << item.value;
        break;
    case machines::statement_kind::add:
        out << " add " << item.row << '+' << item.amount;
        break;
    }
}

} // namespace

std::string describe(const recorded_request& request) {
    std::ostringstream out;
    out << request.id << " session " << request.session << " of " << request.account << " at "
        << request.target;
    for (const auto& item : request.statements) {
        describe(out, item);
    }
    out << " sent " << request.sent.count() << " us answered " << request.answered.count()
        << " us status " << request.status << ' ' << outcome_text(request.result);
    if (request.resolved) {
        out << " resolved " << to_string(*request.resolved);
    }
    for (const auto& result : request.results) {
        out << " [" << result.row << '=' << result.value.value_or("(nothing)") << ']';
    }
    if (!request.reason.empty()) {
        out << " (" << request.reason << ')';
    }
    return out.str();
}

} // namespace oriole::load
