/** Configuration by confirmed plans, with its audit trail. */
@NullMarked
package org.fuchsiawharf.core.config;

import org.jspecify.annotations.NullMarked;
