#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// Plug-ins of one kind, by name. A plug-in registers itself with a static
/// `Registry<Factory>::Registrar`; settings pick it by that name.
/// Thread safety: registration happens before `main`; later use is read-only.
template<class Factory>
class Registry
{
public:
  /// Registers a factory when it is constructed.
  struct Registrar
  {
    Registrar(std::string_view aName, Factory aFactory)
    {
      entries().emplace(aName, aFactory);
    }
  };

  /// The factory with a name, or null. Pre: none.
  static const Factory* find(std::string_view aName)
  {
    const auto found = entries().find(aName);
    return found == entries().end() ? nullptr : &found->second;
  }

  /// All names in order. Pre: none.
  static std::vector<std::string> names()
  {
    std::vector<std::string> all;
    for (const auto& [name, factory] : entries()) {
      all.push_back(name);
    }
    return all;
  }

private:
  static std::map<std::string, Factory, std::less<>>& entries()
  {
    static std::map<std::string, Factory, std::less<>> map;
    return map;
  }
};

} // namespace laburnum
