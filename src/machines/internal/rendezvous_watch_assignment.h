#pragma once

#include "machines/watch_assignment.h"

namespace oriole::machines {

class rendezvous_watch_assignment final : public watch_assignment {
public:
    [[nodiscard]] std::vector<instance_id>
    watchers(const database_name& database, const std::vector<instance>& instances) const override;

    [[nodiscard]] std::optional<std::size_t> rank(const database_name& database,
                                                  const std::vector<instance>& instances,
                                                  const instance_id& self) const override;
};

} // namespace oriole::machines
