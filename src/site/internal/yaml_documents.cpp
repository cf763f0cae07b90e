#include "site/internal/yaml_documents.h"

#include <string_view>
#include <utility>

namespace oriole::site {
namespace {

bool is_marker(std::string_view line, std::string_view marker) {
    return line.starts_with(marker) &&
           (line.size() == marker.size() || line[marker.size()] == ' ' ||
            line[marker.size()] == '\t' || line[marker.size()] == '\r');
}

bool has_content(std::string_view line) {
    const auto start = line.find_first_not_of(" \t\r");
    return start != std::string_view::npos && line[start] != '#';
}

class document_splitter {
public:
    void add_line(std::string_view line) {
        ++m_line;
        const bool is_start_marker = is_marker(line, "---");
        const bool is_end_marker = is_marker(line, "...");
        if (is_start_marker || is_end_marker) {
            finish_document(is_end_marker ? m_line + 1 : m_line);
        }
        if (is_end_marker) {
            return;
        }
        m_has_content =
            m_has_content || (is_start_marker ? has_content(line.substr(3)) : has_content(line));
        m_document.text.append(line);
        m_document.text.push_back('\n');
    }

    std::vector<yaml_document> take() {
        finish_document(m_line + 1);
        return std::move(m_documents);
    }

private:
    void finish_document(std::size_t next_line) {
        if (m_has_content) {
            m_documents.push_back(std::move(m_document));
        }
        m_document = {next_line, {}};
        m_has_content = false;
    }

    std::vector<yaml_document> m_documents;
    yaml_document m_document;
    std::size_t m_line = 0;
    bool m_has_content = false;
};

} // namespace

std::vector<yaml_document> split_documents(const std::string& text) {
    document_splitter splitter;
    std::string_view rest(text);
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        splitter.add_line(rest.substr(0, end));
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return splitter.take();
}

} // namespace oriole::site
