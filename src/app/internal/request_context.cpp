#include "app/internal/request_context.h"

namespace oriole::app {

links::call_context request_context::call_context() const {
    links::call_context context;
    context.account = caller.account();
    context.cost = service->weight();
    context.deadline = deadline;
    const auto account = site->objects.accounts().find(caller.account());
    if (account != site->objects.accounts().end()) {
        context.account_weight = account->second.weight();
    }
    return context;
}

std::string request_context::recorded_id(const std::string& request_id) const {
    return caller.account().str() + "/" + request_id;
}

std::vector<machines::backend_server>
request_context::servers_except(const server_name& excluded) const {
    std::vector<machines::backend_server> servers;
    for (const auto& name : database->servers()) {
        if (name == excluded) {
            continue;
        }
        const auto found = site->objects.servers().find(name);
        if (found != site->objects.servers().end()) {
            servers.push_back(found->second);
        }
    }
    return servers;
}

} // namespace oriole::app
