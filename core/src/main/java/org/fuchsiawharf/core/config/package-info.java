/** Changes of the serving configuration by plan and confirmation, with an audit trail. */
@NullMarked
package org.fuchsiawharf.core.config;

import org.jspecify.annotations.NullMarked;
