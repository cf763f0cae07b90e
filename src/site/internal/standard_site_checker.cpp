#include "site/internal/standard_site_checker.h"

#include "site/internal/check_report.h"
#include "site/internal/contract_checks.h"
#include "site/internal/database_checks.h"
#include "site/internal/reference_checks.h"
#include "site/site_records.h"

namespace oriole::site {

findings standard_site_checker::check(const located_site& site, majority_loss_policy policy) const {
    check_report report(site.places());
    check_references(site, to_records(site.objects()), report);
    check_databases(site, policy, report);
    check_contracts(site, report);
    return report.take();
}

std::unique_ptr<site_checker> make_site_checker() {
    return std::make_unique<standard_site_checker>();
}

} // namespace oriole::site
