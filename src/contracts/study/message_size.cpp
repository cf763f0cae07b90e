#include "contracts/study/message_size.h"

namespace oriole::contracts {
namespace {

/// Size of the frame length, counter, authentication code and JSON-RPC members.
constexpr std::size_t envelope_bytes = 120;

/// Size of the request or status line and the headers of a platform call.
constexpr std::size_t platform_header_bytes = 250;

constexpr std::size_t number_bytes = 7;
constexpr std::size_t punctuation_bytes = 5;

} // namespace

std::size_t estimated_size(const share_request& request) {
    std::size_t size = envelope_bytes + request.requester.str().size() + request.zone.str().size();
    for (const auto& item : request.account_requests) {
        size += item.account.str().size() + 2 * number_bytes + punctuation_bytes;
    }
    return size;
}

std::size_t estimated_size(const share_response& response) {
    std::size_t size =
        envelope_bytes + response.responder.str().size() + response.zone.str().size();
    for (const auto& grant : response.grants) {
        size += grant.account.str().size() + 2 * number_bytes + punctuation_bytes;
    }
    for (const auto& transfer : response.transfers) {
        size += transfer.account().str().size() + 2 * number_bytes + punctuation_bytes;
    }
    return size;
}

std::size_t estimated_size(const share_ledger& ledger) {
    std::size_t size = platform_header_bytes;
    for (const auto& [id, holder] : ledger.holders()) {
        size += id.str().size() + 2 * number_bytes + punctuation_bytes;
        for (const auto& [account, parts] : holder.loans()) {
            size += account.str().size() + number_bytes + punctuation_bytes;
        }
    }
    for (const auto& [account, parts] : ledger.loan_changes()) {
        size += account.str().size() + number_bytes + punctuation_bytes;
    }
    return size;
}

} // namespace oriole::contracts
