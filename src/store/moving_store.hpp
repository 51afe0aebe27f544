// Two stores of counts under a CutOver.
#pragma once

#include "snowknot/gateway.hpp"
#include "store/count_store.hpp"

namespace docklift::store {

// A store that moves from what `before` makes to what `after` makes.
snowknot::StoreFactory moving(snowknot::StoreFactory before, snowknot::StoreFactory after,
                              snowknot::Time cut_over, snowknot::Duration overlap);

}  // namespace docklift::store
