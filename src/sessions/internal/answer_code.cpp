#include "sessions/types/answer_code.h"

namespace oriole::sessions {

std::string_view to_string(answer_code code) noexcept {
    switch (code) {
    case answer_code::ok:
        return "ok";
    case answer_code::busy:
        return "busy";
    case answer_code::aborted:
        return "aborted";
    case answer_code::lagging:
        return "lagging";
    case answer_code::read_only:
        return "read_only";
    case answer_code::wrong_server:
        return "wrong_server";
    case answer_code::connection_limit:
        return "connection_limit";
    case answer_code::in_doubt:
        return "in_doubt";
    case answer_code::timed_out:
        return "timed_out";
    case answer_code::failed:
        return "failed";
    case answer_code::unknown_name:
        return "unknown_name";
    case answer_code::denied:
        return "denied";
    case answer_code::no_database:
        return "no_database";
    case answer_code::too_big:
        return "too_big";
    case answer_code::malformed:
        return "malformed";
    }
    return "malformed";
}

} // namespace oriole::sessions
