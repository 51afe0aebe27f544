// A store of counts that migrates from one store to another by a CutOver.
#pragma once

#include "snowknot/gateway.hpp"
#include "store/count_store.hpp"

namespace docklift::store {

// Creates a store that switches at `cut_over` from the store of `before` to that of `after`.
snowknot::StoreFactory moving(snowknot::StoreFactory before, snowknot::StoreFactory after,
                              snowknot::Time cut_over, snowknot::Duration overlap);

}  // namespace docklift::store
