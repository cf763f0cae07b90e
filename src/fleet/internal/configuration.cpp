#include "fleet/types/configuration.h"

#include "base/message_text.h"

namespace oriole::fleet {

void remove_unusable_names(configuration& value) {
    auto& unusable = value.unusable_names;
    const auto is_unusable = [&unusable](const char* kind, const std::string& name) {
        const bool found = !is_object_name(name);
        if (found) {
            unusable.push_back(std::string(kind) + " " + name);
        }
        return found;
    };
    std::erase_if(value.routes, [&](const auto& item) {
        return is_unusable("service of a route", item.second.service.str());
    });
    std::erase_if(value.services,
                  [&](const auto& item) { return is_unusable("service", item.first.str()); });
    std::erase_if(value.accounts,
                  [&](const auto& item) { return is_unusable("account", item.name.str()); });
}

} // namespace oriole::fleet
