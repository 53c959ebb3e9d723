/** Request processing on an entry instance, from arrival to the single outcome. */
@NullMarked
package org.fuchsiawharf.core.request;

import org.jspecify.annotations.NullMarked;
