package org.magnoliavale.internal.link;

import com.codahale.metrics.Counter;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.traffic.GlobalTrafficShapingHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;
import org.magnoliavale.Service;
import org.magnoliavale.internal.ini.Values;
import org.magnoliavale.internal.link.protocol.Frame;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.InstanceList;
import org.magnoliavale.internal.platform.ListedInstance;
import org.magnoliavale.internal.settings.PeerSettings;

/**
 * The links of this instance to its peers. Accepts connections from other instances and keeps one
 * connection open to each instance that the {@link LinkTopology} of the platform's instance list
 * names: all others in a small fleet, and relays in a large one.
 *
 * <p>The list is read once a second, on a virtual thread; each read also reconnects links that were
 * closed. All channels share one event loop thread, and only that thread accesses the links. A
 * connection that fails authentication, carries an invalid frame or receives nothing within the
 * silence timeout is closed. A failure to bind the port is thrown by {@link #start}.
 */
public final class PeerLinks implements Service {
  private static final Logger LOG = Logs.of("link");
  private static final long LIST_POLL_INTERVAL_MS = 1_000;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** Time for which urgent heartbeats are collected before they are passed on. */
  private static final long URGENT_DELAY_MS = 40;

  /** Minimum time between two heartbeats that are sent without waiting for the next interval. */
  private static final long ANNOUNCEMENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

  /** Time for which an instance whose link failed is not used as a relay. */
  private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private record Outgoing(Channel channel, ConnectedLink handler) {}

  private final PeerSettings settings;
  private final LinkContext context;
  private final InstanceList instanceList;
  private final EventLoopGroup eventLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final GlobalTrafficShapingHandler trafficHandler =
      new GlobalTrafficShapingHandler(eventLoop, 0, 0, 0);
  private final Map<String, Outgoing> outgoing = new HashMap<>();
  private final Map<String, Long> unreachableUntil = new HashMap<>();
  private final AtomicBoolean announcementPending = new AtomicBoolean();
  private final MinimumInterval announcements = new MinimumInterval(ANNOUNCEMENT_INTERVAL_NANOS);
  private boolean urgentRelayScheduled;

  /** The list to which all links are open; empty while some are not, or may be chosen anew. */
  private Optional<List<ListedInstance>> connectedList = Optional.empty();

  private boolean connectedServing;
  private volatile boolean stopped;
  private Channel serverChannel;

  /** Returns links that are not started yet. */
  public PeerLinks(
      PeerSettings settings,
      PeerIdentity self,
      InstanceList instanceList,
      PeerState state,
      PeerListener listener,
      Counter rejectedFrames) {
    this.settings = settings;
    this.instanceList = instanceList;
    this.context =
        new LinkContext(
            self.instance(),
            self.incarnation(),
            new LinkProof(settings.sharedKey()),
            state,
            listener,
            new HeartbeatExchange(
                self.instance(),
                state,
                listener,
                System::nanoTime,
                System.currentTimeMillis(),
                this::scheduleUrgentRelay),
            new HashSet<>(),
            settings.silenceTimeout(),
            rejectedFrames);
  }

  /** Returns whether the instances of a fleet are all linked to each other, without relays. */
  public static boolean isMesh(int instances) {
    return instances <= LinkTopology.MAXIMUM_MESH_SIZE;
  }

  @Override
  public void start() {
    serverChannel =
        new ServerBootstrap()
            .group(eventLoop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(trafficHandler);
                    Frames.addCodecs(channel, settings.silenceTimeout());
                    channel.pipeline().addLast(new AcceptedLink(context));
                  }
                })
            .bind(settings.address())
            .syncUninterruptibly()
            .channel();
    long heartbeatMs = settings.heartbeatInterval().toMillis();
    eventLoop.scheduleAtFixedRate(
        this::sendHeartbeats, heartbeatMs, heartbeatMs, TimeUnit.MILLISECONDS);
    Thread.ofVirtual().name("instance-list").start(this::pollInstanceList);
  }

  @Override
  public void stop() {
    stopped = true;
    serverChannel.close().syncUninterruptibly();
    trafficHandler.release();
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Returns the address that other instances connect to, after the start. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Returns the number of bytes that all links have sent since the start. */
  public long bytesSent() {
    return trafficHandler.trafficCounter().cumulativeWrittenBytes();
  }

  /**
   * Sends a heartbeat to all peers without waiting for the next interval: at once, or a little
   * later if one has just been sent. What happens until then goes with it.
   */
  public void sendHeartbeatsNow() {
    if (!stopped && announcementPending.compareAndSet(false, true)) {
      eventLoop.execute(this::announce);
    }
  }

  private void announce() {
    long waitNanos = announcements.remainingNanos(System.nanoTime());
    if (waitNanos > 0) {
      eventLoop.schedule(this::sendAnnouncement, waitNanos, TimeUnit.NANOSECONDS);
    } else {
      sendAnnouncement();
    }
  }

  /**
   * Sends a heartbeat to the preferred relay, which passes on what others need, or to all peers.
   */
  private void sendAnnouncement() {
    Optional<Outgoing> preferred =
        context.exchange().preferredRelay().map(outgoing::get).filter(PeerLinks::isOpen);
    sendHeartbeat(preferred.map(List::of).orElseGet(() -> List.copyOf(outgoing.values())));
  }

  private void sendHeartbeats() {
    sendHeartbeat(List.copyOf(outgoing.values()));
  }

  private void sendHeartbeat(Collection<Outgoing> links) {
    // Cleared first: what is announced from now on may be missing in this heartbeat.
    announcementPending.set(false);
    announcements.record(System.nanoTime());
    Frame heartbeat = Frames.heartbeat(context.exchange().nextHeartbeat());
    links.forEach(link -> link.handler().sendHeartbeat(heartbeat));
    context.accepted().forEach(AcceptedLink::relayHeartbeats);
  }

  private void scheduleUrgentRelay() {
    if (!urgentRelayScheduled) {
      urgentRelayScheduled = true;
      eventLoop.schedule(this::relayUrgentHeartbeats, URGENT_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Passes on the heartbeats that must not wait for the next interval. */
  private void relayUrgentHeartbeats() {
    urgentRelayScheduled = false;
    outgoing.values().forEach(link -> link.handler().relayHeartbeats());
    context.accepted().forEach(AcceptedLink::relayHeartbeats);
  }

  private void pollInstanceList() {
    try {
      while (!stopped) {
        readInstanceList();
        Thread.sleep(LIST_POLL_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void readInstanceList() {
    try {
      instanceList.read().ifPresent(listed -> eventLoop.execute(() -> connectToListed(listed)));
    } catch (RuntimeException | Error e) {
      LOG.errorf(e, "Instance list could not be read.");
    }
  }

  /**
   * Connects to the instances that the topology names, and closes links that it no longer needs.
   * Runs on the event loop thread.
   */
  private void connectToListed(List<ListedInstance> listed) {
    boolean serving = context.exchange().isServing();
    boolean connected =
        connectedList.filter(listed::equals).isPresent() && connectedServing == serving;
    if (stopped || connected) {
      return;
    }
    LinkTopology topology = LinkTopology.of(context.instance(), listed, this::isReachable, serving);
    if (context.exchange().setTopology(topology)) {
      LOG.infof(
          "Link targets changed. mesh=%s instances=%d relays=%d targets=%s",
          topology.mesh(),
          topology.dataCentres().size(),
          topology.relays().size(),
          topology.mesh() ? topology.targets().size() : topology.targets());
    }
    for (ListedInstance instance : listed) {
      boolean usable =
          topology.targets().contains(instance.id()) && Values.isAddress(instance.peerAddress());
      if (usable && !isOpen(outgoing.get(instance.id()))) {
        connect(instance.id(), Values.address(instance.peerAddress()));
      }
    }
    List<Outgoing> unneeded = new ArrayList<>();
    outgoing
        .entrySet()
        .removeIf(
            entry -> {
              boolean target = topology.targets().contains(entry.getKey());
              // Open links of a mesh are kept: the list lags, and links detect failures sooner.
              boolean kept = target || topology.mesh() && isOpen(entry.getValue());
              return !kept && unneeded.add(entry.getValue());
            });
    unneeded.forEach(link -> link.channel().close());
    unreachableUntil.keySet().removeIf(this::isReachable);
    boolean settled =
        unreachableUntil.isEmpty()
            && topology.targets().stream().allMatch(id -> isOpen(outgoing.get(id)));
    connectedList = settled ? Optional.of(listed) : Optional.empty();
    connectedServing = serving;
  }

  private boolean isReachable(String instance) {
    Long until = unreachableUntil.get(instance);
    return until == null || System.nanoTime() - until >= 0;
  }

  private void onClosed(String instance, Channel channel) {
    Outgoing current = outgoing.get(instance);
    if (current != null && current.channel() == channel) {
      unreachableUntil.put(instance, System.nanoTime() + UNREACHABLE_NANOS);
      connectedList = Optional.empty();
    }
  }

  private static boolean isOpen(Outgoing link) {
    return link != null && link.channel().isOpen();
  }

  private void connect(String instance, InetSocketAddress address) {
    ConnectedLink handler = new ConnectedLink(context, instance);
    Channel channel =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel opened) {
                    opened.pipeline().addLast(trafficHandler);
                    Frames.addCodecs(opened, settings.silenceTimeout());
                    opened.pipeline().addLast(handler);
                  }
                })
            .connect(address)
            .channel();
    outgoing.put(instance, new Outgoing(channel, handler));
    channel.closeFuture().addListener(closed -> onClosed(instance, channel));
    LOG.debugf("Connecting. instance=%s address=%s", instance, address);
  }
}
