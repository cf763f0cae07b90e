#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace oriole::zones {

/// A k-ary sibling tree of `size` nodes, numbered level by level from 0, the root.
/// Each level is a ring. All relations are computed from the node numbers. Immutable.
class sibling_tree {
public:
    /// Precondition: `arity` is at least 1.
    sibling_tree(std::size_t arity, std::size_t size) : m_arity(arity), m_size(size) {}

    /// Precondition: `node` is not the root.
    [[nodiscard]] std::size_t parent(std::size_t node) const noexcept {
        return (node - 1) / m_arity;
    }

    [[nodiscard]] std::vector<std::size_t> children(std::size_t node) const {
        std::vector<std::size_t> found;
        for (std::size_t i = 1; i <= m_arity && m_arity * node + i < m_size; ++i) {
            found.push_back(m_arity * node + i);
        }
        return found;
    }

    /// The left neighbour in the ring of the node's level; the node itself if it is the only one.
    [[nodiscard]] std::size_t left(std::size_t node) const noexcept {
        const auto [first, last] = level_of(node);
        return node == first ? last : node - 1;
    }

    /// The right neighbour in the ring of the node's level; the node itself if it is the only one.
    [[nodiscard]] std::size_t right(std::size_t node) const noexcept {
        const auto [first, last] = level_of(node);
        return node == last ? first : node + 1;
    }

    friend bool operator==(const sibling_tree&, const sibling_tree&) = default;

private:
    /// First and last node of the level that contains `node`. Precondition: `node` is less than the
    /// tree's size.
    [[nodiscard]] std::pair<std::size_t, std::size_t> level_of(std::size_t node) const noexcept {
        std::size_t first = 0;
        std::size_t width = 1;
        while (node >= first + width) {
            first += width;
            width *= m_arity;
        }
        return {first, first + width < m_size ? first + width - 1 : m_size - 1};
    }

    std::size_t m_arity;
    std::size_t m_size;
};

} // namespace oriole::zones
