package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.experiment.PlacementExperiment;
import org.magnoliavale.internal.experiment.PlacementResult;

/** Compares placement policies on the engine pool of a document. */
@Parameters(commandDescription = "Compare placement policies on the engine pool of a document")
final class ExperimentCommand implements Command {
  @Parameter(
      names = "--document",
      required = true,
      description = "File with the configuration document")
  private String documentFile;

  @Parameter(names = "--seeds", description = "Number of seeds to run, counted from 1")
  private int seeds = 5;

  @Override
  public int run() {
    Document document = DocumentReader.read(documentFile, InputFiles.read(documentFile), 1);
    System.out.println("seed policy attainment moves longest-unreachable-s");
    for (long seed = 1; seed <= seeds; seed++) {
      for (PlacementResult result : PlacementExperiment.of(document, seed).runAll()) {
        System.out.printf(
            "%d %s %.4f %d %d%n",
            seed,
            result.policy(),
            result.attainment(),
            result.moves(),
            result.longestUnavailableSeconds());
      }
    }
    return SUCCESS;
  }
}
