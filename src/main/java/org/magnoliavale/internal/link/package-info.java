/**
 * Links between instances: Netty connections that carry heartbeats and the document as protobuf
 * frames, after mutual authentication with a shared key.
 *
 * <p>{@link org.magnoliavale.internal.link.PeerLinks} accepts and opens the connections. It obtains
 * this instance's state from a {@link org.magnoliavale.internal.link.PeerState} and passes received
 * state to a {@link org.magnoliavale.internal.link.PeerListener}. {@link
 * org.magnoliavale.internal.link.Membership} holds the live peers and their latest heartbeats.
 *
 * <p>All connections of an instance run on one Netty event loop thread, which must not block; the
 * instance list is read on a virtual thread.
 */
package org.magnoliavale.internal.link;
