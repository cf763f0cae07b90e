#include "app/internal/unfinished_request.h"

namespace oriole::app {
namespace {

using links::answer_code;
using links::caller_answer;
using links::caller_call;

bool may_be_committed(const links::unfinished_request& request) {
    switch (request.call) {
    case caller_call::run:
        return request.writes;
    case caller_call::commit:
    case caller_call::lookup:
    case caller_call::cancel:
        return true;
    default:
        return false;
    }
}

} // namespace

caller_answer answer_without_result(const links::unfinished_request& request) {
    if (may_be_committed(request)) {
        caller_answer answer =
            refusal(answer_code::outcome_unknown, "the instance stops; the request may have run");
        answer.result = outcome::unknown;
        answer.request_id = request.request_id;
        return answer;
    }
    const bool in_transaction =
        request.call == caller_call::add || request.call == caller_call::rollback;
    if (in_transaction) {
        return refusal(answer_code::conflict,
                       "the transaction was rolled back: the instance stops");
    }
    return refusal(answer_code::unavailable, "the instance stops");
}

} // namespace oriole::app
