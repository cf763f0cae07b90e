#pragma once

#include "app/internal/site_context.h"
#include "base/clock.h"
#include "contracts/types/authorization.h"
#include "contracts/types/service.h"
#include "links/types/caller_messages.h"

#include <memory>

namespace oriole::app {

/// An authorized request with its account, service, database and deadline. Holds the site that it
/// was checked against, so that the whole request uses one generation of the configuration.
struct request_context {
    std::shared_ptr<const site_context> site;
    links::caller_request request;
    contracts::authorization caller{contracts::authorization_refusal::no_key};
    const contracts::service* service = nullptr;  ///< owned by `site`
    const machines::database* database = nullptr; ///< owned by `site`
    clock::time_point deadline;

    [[nodiscard]] links::call_context call_context() const;

    /// The request id as recorded in the database. It is prefixed with the account name, so that
    /// ids of different accounts cannot collide.
    [[nodiscard]] std::string recorded_id(const std::string& request_id) const;

    /// All servers of the database except `excluded`.
    [[nodiscard]] std::vector<machines::backend_server>
    servers_except(const server_name& excluded) const;
};

} // namespace oriole::app
