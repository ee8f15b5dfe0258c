# Time to build a service's slot table in memory against its number of targets.
set terminal svg size 640,400 background rgb 'white'
set output output_file
set logscale xy
set xlabel 'targets of a service'
set ylabel 'microseconds'
set key top left
set grid
plot data.'/table.dat' with linespoints title 'build from the message'
