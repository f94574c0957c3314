// The set of protocol codecs of a deployment. A deployment uses one set.
#pragma once

#include <memory>

#include "trestlepost/surface/caller_surface.h"
#include "trestlepost/surface/endpoint_codec.h"
#include "trestlepost/surface/endpoint_directory.h"
#include "trestlepost/surface/entry_surface.h"
#include "trestlepost/surface/operators_surface.h"

namespace trestlepost::surface {

struct surfaces {
  std::unique_ptr<const caller_surface> callers;
  std::unique_ptr<const endpoint_codec> endpoints;
  std::unique_ptr<const endpoint_directory> directory;
  std::unique_ptr<const operators_surface> operators;
  std::unique_ptr<const entry_surface> entries;
};

}  // namespace trestlepost::surface
