/** Links between instances: Netty connections that carry protobuf frames. */
package org.magnoliavale.internal.link;
