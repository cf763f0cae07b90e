#include "ctl/internal/check_command.h"

#include "ctl/internal/findings_output.h"
#include "ctl/internal/site_files.h"
#include "site/site_checker.h"

#include <algorithm>

namespace oriole::ctl {

std::vector<option_schema> check_command::options() const {
    return {{"force", "", "accept databases that are left without a majority of servers", false}};
}

exit_code check_command::run(const arguments& args, console& output) {
    auto [site, found] = read_site_files(m_system, args.positional());
    const auto policy =
        args.has("force") ? site::majority_loss_policy::allow : site::majority_loss_policy::refuse;
    const auto checked = site::make_site_checker()->check(site, policy);
    found.insert(found.end(), checked.begin(), checked.end());
    std::stable_sort(found.begin(), found.end(),
                     [](const finding& a, const finding& b) { return a.place < b.place; });
    write_findings(found, output);
    return has_errors(found) ? exit_code::findings : exit_code::clean;
}

} // namespace oriole::ctl
