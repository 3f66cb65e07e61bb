// Figures as the reports of load runs write them.
#pragma once

#include <string>

#include "reeltack/controller.h"

namespace reeltack::load {

double milliseconds(Duration span);           // to a thousandth
double microseconds(Duration span);           // to a tenth
std::string fixed(double value, int digits);  // so many digits behind the point

}  // namespace reeltack::load
