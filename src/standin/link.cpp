#include "standin/link.h"

#include <cstdio>

namespace reeltack::standin {

std::string load_figures(std::uint32_t free, std::uint32_t lines, double util, std::size_t queue) {
  char text[96];
  std::snprintf(text, sizeof text, "x0:%u;x1:%u;util:%.3f;queue:%zu", free, lines, util, queue);
  return text;
}

}  // namespace reeltack::standin
