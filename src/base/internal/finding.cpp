#include "base/types/finding.h"

#include "base/one_line.h"

#include <algorithm>

namespace oriole {

bool has_errors(const findings& found) noexcept {
    return std::any_of(found.begin(), found.end(),
                       [](const finding& f) { return f.level == severity::error; });
}

std::string to_string(const finding& value) {
    std::string text = value.place.file + ":" + std::to_string(value.place.line) + ":" +
                       std::to_string(value.place.column);
    text += value.level == severity::error ? ": error: " : ": warning: ";
    if (!value.object.empty()) {
        text += "object " + value.object + ": ";
    }
    return one_line(text + value.message);
}

} // namespace oriole
