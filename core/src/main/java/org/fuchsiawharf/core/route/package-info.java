/** Routing configuration: hosts, paths, services, workspace keys and pipelines of piece stages. */
@NullMarked
package org.fuchsiawharf.core.route;

import org.jspecify.annotations.NullMarked;
