# Control traffic of a balancer at rest against the number of balancers of its cell.
set terminal svg size 640,400 background rgb 'white'
set output output_file
set xlabel 'balancers in the cell'
set ylabel 'bytes a second sent by each balancer'
set yrange [0:15000]
set key top left
set grid
plot data.'/control.dat' with linespoints title 'heartbeats, control decisions alone', \
     data.'/fleet.dat' with linespoints title 'real processes', \
     4096 with lines dashtype 2 title 'goal today, 4 KB/s', \
     13312 with lines dashtype 3 title 'budget at full size, 13 KB/s'
