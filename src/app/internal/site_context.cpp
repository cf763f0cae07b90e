#include "app/internal/site_context.h"

namespace oriole::app {

bool in_service(const site::site_objects& objects, const machines::backend_server& server) {
    if (server.state() == service_state::out) {
        return false;
    }
    const auto zone = objects.zones().find(server.zone());
    return zone != objects.zones().end() && zone->second.state() == service_state::in;
}

} // namespace oriole::app
