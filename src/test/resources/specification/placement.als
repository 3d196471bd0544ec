-- Placement protocol of one endpoint with memory for one artifact: lease, ledger and commands.
--
-- Fencing tokens increase in the sequence in which commands are recorded, because a record requires
-- the current epoch.
module placement

open util/ordering[Command] as number
open util/ordering[Version] as newer

sig Artifact {}
abstract sig Command { artifact: one Artifact }
sig Load extends Command {}
sig Unload extends Command {}

one sig Engine {
  var resident: set Artifact,
  var dealtWith: set Command,    -- processed by this incarnation
  var outrun: set Command        -- fencing tokens below the highest one seen
}

-- The latest report that the holder has read; it may be outdated.
one sig Report {
  var shownResident: set Artifact,
  var shownDealtWith: set Command
}

one sig Ledger {
  var entries: set Artifact,
  var releasing: set Artifact,
  var mayArrive: set Load,
  var lastUnload: Artifact -> lone Unload
}

one sig Network {
  var recorded: set Command,
  var arrived: set Command,
  var expired: set Command,
  var expiredBefore: Unload -> Command
}

sig Holder { var view: set Artifact }
one sig Lease { var holder: one Holder }

sig Version {}
one sig Table { var accepted: one Version }
sig Instance { var inForce: one Version }

-- The two kinds of contract: with and without fencing. An engine that checks fencing tokens keeps
-- the highest over a restart.
one sig Contract { checks: lone Contract }
pred checking { some Contract.checks }

pred init {
  no resident and no dealtWith and no outrun
  no shownResident and no shownDealtWith
  no entries and no releasing and no mayArrive and no lastUnload
  no recorded and no arrived and no expired and no expiredBefore
  no view
  Table.accepted = newer/first and Instance.inForce = newer/first
}

pred engineUnchanged { resident' = resident and dealtWith' = dealtWith and outrun' = outrun }
pred reportUnchanged { shownResident' = shownResident and shownDealtWith' = shownDealtWith }
pred ledgerUnchanged {
  entries' = entries and releasing' = releasing
  mayArrive' = mayArrive and lastUnload' = lastUnload
}
pred networkUnchanged {
  recorded' = recorded and arrived' = arrived
  expired' = expired and expiredBefore' = expiredBefore
}
pred leaseUnchanged { view' = view and holder' = holder }
pred versionsUnchanged { accepted' = accepted and inForce' = inForce }

pred isNext[o: Command] { o not in Network.recorded and number/prevs[o] in Network.recorded }

-- The table accepts a write only from the holder of the current epoch.
pred mayWrite[h: Holder] { h = Lease.holder }

pred reserve[h: Holder, o: Load] {
  mayWrite[h]
  isNext[o]
  o.artifact not in h.view
  no h.view
  entries' = entries + Ledger->o.artifact
  mayArrive' = mayArrive + Ledger->o
  releasing' = releasing and lastUnload' = lastUnload
  view' = view ++ h->entries'[Ledger]
  holder' = holder
  recorded' = recorded + Network->o
  arrived' = arrived and expired' = expired and expiredBefore' = expiredBefore
  engineUnchanged and reportUnchanged and versionsUnchanged
}

-- The answer to a reservation is lost; the holder reads the row again before it continues.
pred reserveUnknown[h: Holder, o: Load] {
  mayWrite[h]
  isNext[o]
  no h.view
  entries' = entries + Ledger->o.artifact
  mayArrive' = mayArrive + Ledger->o
  releasing' = releasing and lastUnload' = lastUnload
  view' = view ++ h->(entries'[Ledger])   -- GUARD reread
  holder' = holder
  recorded' = recorded + Network->o
  arrived' = arrived and expired' = expired and expiredBefore' = expiredBefore
  engineUnchanged and reportUnchanged and versionsUnchanged
}

-- Another load command for an artifact that is already reserved.
pred repeatLoad[h: Holder, o: Load] {
  mayWrite[h]
  isNext[o]
  o.artifact in h.view - Ledger.releasing
  mayArrive' = mayArrive + Ledger->o      -- GUARD count transmissions
  entries' = entries and releasing' = releasing and lastUnload' = lastUnload
  recorded' = recorded + Network->o
  arrived' = arrived and expired' = expired and expiredBefore' = expiredBefore
  engineUnchanged and reportUnchanged and leaseUnchanged and versionsUnchanged
}

pred startRelease[h: Holder, o: Unload] {
  mayWrite[h]
  isNext[o]
  o.artifact in h.view
  releasing' = releasing + Ledger->o.artifact
  lastUnload' = lastUnload ++ Ledger->o.artifact->o
  entries' = entries and mayArrive' = mayArrive
  recorded' = recorded + Network->o
  expiredBefore' = expiredBefore + Network->o->Network.expired
  arrived' = arrived and expired' = expired
  engineUnchanged and reportUnchanged and leaseUnchanged and versionsUnchanged
}

-- The loads that cannot take effect after unload u.
fun settledBy[u: Unload]: set Load {
  { l: Load |
    l in Report.shownDealtWith
    or (checking and number/lt[l, u])       -- GUARD fence
    or l in u.(Network.expiredBefore) }     -- GUARD lateness
}

pred isReleasable[a: Artifact] {
  a in Ledger.releasing
  let u = a.(Ledger.lastUnload) {
    u in Report.shownDealtWith            -- GUARD confirmed unload
    (Ledger.mayArrive & artifact.a) in settledBy[u]   -- GUARD settled loads
  }
  a not in Report.shownResident           -- GUARD absent
}

pred release[h: Holder, a: Artifact] {
  mayWrite[h]
  a in h.view
  isReleasable[a]
  entries' = entries - Ledger->a
  releasing' = releasing - Ledger->a
  mayArrive' = mayArrive - Ledger->(artifact.a)
  lastUnload' = lastUnload - Ledger->a->Unload
  view' = view - h->a
  holder' = holder
  engineUnchanged and reportUnchanged and networkUnchanged and versionsUnchanged
}

-- A command that has not arrived within the contract's lateness never arrives.
pred expire[o: Command] {
  o in Network.recorded - Network.expired
  expired' = expired + Network->o
  recorded' = recorded and arrived' = arrived and expiredBefore' = expiredBefore
  engineUnchanged and reportUnchanged and ledgerUnchanged and leaseUnchanged and versionsUnchanged
}

-- A recorded command may arrive at any later time, once: the network delayed it, or its sender was
-- paused and may have lost the lease in the meantime. A command that never arrives was lost.
pred arrive[o: Command] {
  o in Network.recorded - Network.arrived - Network.expired
  arrived' = arrived + Network->o
  recorded' = recorded and expired' = expired and expiredBefore' = expiredBefore
  dealtWith' = dealtWith + Engine->o
  (checking and o in Engine.outrun) implies {
    resident' = resident and outrun' = outrun
  } else {
    outrun' = outrun + Engine->number/prevs[o]
    o in Load implies resident' = resident + Engine->o.artifact
    else resident' = resident - Engine->o.artifact
  }
  reportUnchanged and ledgerUnchanged and leaseUnchanged and versionsUnchanged
}

pred restart {
  no resident'
  no dealtWith'
  outrun' = outrun                        -- GUARD number kept over restart
  reportUnchanged and ledgerUnchanged and networkUnchanged and leaseUnchanged and versionsUnchanged
}

pred report {
  shownResident' = Report->Engine.resident
  shownDealtWith' = Report->Engine.dealtWith
  engineUnchanged and ledgerUnchanged and networkUnchanged and leaseUnchanged and versionsUnchanged
}

-- The new holder reads the ledger and discards earlier reports of the engine.
pred takeOver[h: Holder] {
  holder' = Lease->h
  view' = view - h->Artifact + h->Ledger.entries   -- GUARD read ledger
  no shownDealtWith'
  shownResident' = shownResident
  engineUnchanged and ledgerUnchanged and networkUnchanged and versionsUnchanged
}

pred accept[v: Version] {
  v = Table.accepted.next
  accepted' = Table->v
  inForce' = inForce
  engineUnchanged and reportUnchanged and ledgerUnchanged and networkUnchanged and leaseUnchanged
}

-- An instance installs a version from the table or from another instance, whichever comes first.
pred install[i: Instance, v: Version] {
  v in Table.accepted + Instance.inForce
  newer/gt[v, i.inForce]                  -- GUARD only newer versions
  inForce' = inForce ++ i->v
  accepted' = accepted
  engineUnchanged and reportUnchanged and ledgerUnchanged and networkUnchanged and leaseUnchanged
}

pred stutter {
  engineUnchanged and reportUnchanged and ledgerUnchanged
  networkUnchanged and leaseUnchanged and versionsUnchanged
}

fact behaviour {
  init
  always (
    (some h: Holder, o: Load | reserve[h, o] or reserveUnknown[h, o] or repeatLoad[h, o])
    or (some h: Holder, o: Unload | startRelease[h, o])
    or (some h: Holder, a: Artifact | release[h, a])
    or (some o: Command | expire[o] or arrive[o])
    or restart or report
    or (some h: Holder | takeOver[h])
    or (some v: Version | accept[v])
    or (some i: Instance, v: Version | install[i, v])
    or stutter
  )
}

-- The endpoint has memory for one artifact.
assert neverOvercommitted { always lone Engine.resident }

-- Every artifact in the memory of the engine has a ledger entry.
assert occupiedHasEntry { always Engine.resident in Ledger.entries }

assert versionNeverReverts {
  always all i: Instance | i.inForce' = i.inForce or newer/gt[i.inForce', i.inForce]
}

-- The holder of the epoch knows every entry, so that two holders never reserve the same memory.
assert oneEffectiveHolder { always Lease.holder.view = Ledger.entries }

-- Not an assertion: an instance exists, so that the checks above do not hold vacuously.
pred loadAndRelease { eventually (some Engine.resident and eventually no Ledger.entries) }

run loadAndRelease for 2 Artifact, 3 Command, 2 Holder, 2 Version, 1 Instance, 1..9 steps
check neverOvercommitted for 2 Artifact, 4 Command, 2 Holder, 1 Version, 1 Instance, 1..11 steps
check versionNeverReverts for 1 Artifact, 1 Command, 1 Holder, 3 Version, 2 Instance, 1..7 steps
check oneEffectiveHolder for 2 Artifact, 3 Command, 2 Holder, 1 Version, 1 Instance, 1..9 steps
